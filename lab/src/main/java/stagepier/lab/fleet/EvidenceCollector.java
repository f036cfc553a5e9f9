package stagepier.lab.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import stagepier.lab.check.Checker;
import stagepier.lab.check.Evidence;
import stagepier.lab.check.HistoryEntry;
import stagepier.lab.check.HistoryLines;
import stagepier.lab.check.Span;
import stagepier.lab.check.Timeline;
import stagepier.lab.check.Verdict;
import stagepier.lab.ledger.Event;
import stagepier.lab.ledger.Violation;
import stagepier.lab.scenario.FleetScenario;
import stagepier.lab.scenario.Scenario;

/** Brings together what a run left behind, for the checker. */
final class EvidenceCollector {
    private final Scenario scenario;
    private final Path folder;
    private final List<Evidence.Proposal> proposals = new ArrayList<>();

    EvidenceCollector(Scenario scenario, Path folder) {
        this.scenario = scenario;
        this.folder = folder;
    }

    /** Staff had a changed calendar read there; seconds on the lab's clock. */
    synchronized void proposed(double at, int router) {
        proposals.add(new Evidence.Proposal(at, router));
    }

    /**
     * @param zero    monotonic nanoseconds of the lab's clock at second 0
     * @param start   seconds at which all routers were ready, and the load began
     * @param until   when the run was over
     * @param hearing who heard whom
     */
    List<Verdict> verdicts(
            long zero,
            double start,
            double until,
            Timeline.Connectivity hearing,
            List<Event> events,
            List<Violation> breaches,
            Map<Integer, List<Long>> traffic)
            throws IOException {
        List<HistoryEntry> told = new ArrayList<>();
        for (int r = 0; r < scenario.routers(); r++) {
            Path file = HistoryCommand.file(folder, r);
            if (!Files.exists(file)) {
                throw new IOException("router " + r + " left no history at " + file);
            }
            List<String> wrong = HistoryLines.read(
                    "n" + r,
                    new String(Files.readAllBytes(file), StandardCharsets.UTF_8)
                            .lines()
                            .toList(),
                    zero,
                    told);
            if (!wrong.isEmpty()) {
                throw new IOException(wrong.get(0));
            }
        }
        FleetScenario t = scenario.together();
        Timeline timeline =
                new Timeline(scenario.routers(), still(events, scenario.routers(), start, until), hearing, until);
        return Checker.judge(new Evidence(
                told,
                timeline,
                lastFault(events, start, until),
                until,
                List.copyOf(proposals),
                new Evidence.Limits(t.lease(), t.skew(), t.trafficMost(), t.copiesBudget()),
                new Evidence.Observations(
                        breaches.stream()
                                .filter(b -> b.rule() == Violation.Rule.DRAINS)
                                .map(Violation::toString)
                                .toList(),
                        traffic,
                        List.of())));
    }

    /** When each router was down, stood still, or was not yet ready. */
    static Map<Integer, List<Span>> still(List<Event> events, int routers, double start, double until) {
        Map<Integer, List<Span>> all = new TreeMap<>();
        for (int r = 0; r < routers; r++) {
            all.computeIfAbsent(r, x -> new ArrayList<>()).add(new Span(Double.NEGATIVE_INFINITY, start));
        }
        Map<String, Double> since = new HashMap<>();
        events.stream().sorted(java.util.Comparator.comparingDouble(Event::at)).forEach(e -> {
            if (e instanceof Event.Router x) {
                change(all, since, "down", x.router(), !x.up(), x.at());
            } else if (e instanceof Event.Stalled x) {
                change(all, since, "stalled", x.router(), x.stalled(), x.at());
            }
        });
        since.forEach((key, at) ->
                all.get(Integer.parseInt(key.split(" ")[1])).add(new Span(at, Math.max(at, until) + 1)));
        return all;
    }

    private static void change(
            Map<Integer, List<Span>> all,
            Map<String, Double> since,
            String what,
            int router,
            boolean still,
            double at) {
        String key = what + " " + router;
        if (still) {
            since.putIfAbsent(key, at);
        } else if (since.containsKey(key)) {
            all.get(router).add(new Span(since.remove(key), at));
        }
    }

    /** When the last fault was over, and the last router up again; beyond the end of the run where one never is. */
    private double lastFault(List<Event> events, double start, double until) {
        double last = start
                + scenario.linkFaults().stream()
                        .mapToDouble(f -> f.until())
                        .max()
                        .orElse(0);
        for (List<Span> spans : still(events, scenario.routers(), start, until).values()) {
            last = Math.max(last, spans.stream().mapToDouble(Span::until).max().orElse(0));
        }
        return last;
    }
}
