package stagepier.lab.check;

import com.google.gson.Gson;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import stagepier.lab.check.Evidence.Limits;
import stagepier.lab.check.Evidence.Observations;
import stagepier.lab.check.Evidence.Proposal;
import stagepier.lab.check.Timeline.Connectivity;

/** The histories of five routers, a line at a time, in the form in which the lab keeps them. */
final class History {
    static final int ROUTERS = 5;
    /** The wall clock at second 0. */
    static final long WALL = 1_800_000_000_000L;

    private static final Gson GSON = new Gson();

    private final Map<String, List<String>> lines = new LinkedHashMap<>();
    private final Map<Integer, List<Span>> still = new LinkedHashMap<>();
    private final List<Proposal> proposals = new ArrayList<>();
    private Connectivity hearing = (to, from, at) -> true;
    private double lastFault;
    private Observations seen = Observations.NOTHING;

    History say(double at, int router, long incarnation, String event, Object... namesAndValues) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("at", WALL + (long) (at * 1000));
        line.put("event", event);
        line.put("nano", (long) (at * 1e9));
        line.put("router", "n" + router);
        line.put("incarnation", incarnation);
        for (int i = 0; i < namesAndValues.length; i += 2) {
            line.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        lines.computeIfAbsent("n" + router, r -> new ArrayList<>()).add(GSON.toJson(line));
        return this;
    }

    /** A view in which all but the ones named are alive. */
    History view(double at, int router, int epoch, boolean majority, String... others) {
        List<String> members = new ArrayList<>();
        for (int r = 0; r < ROUTERS; r++) {
            String name = "n" + r + ":";
            members.add(List.of(others).stream()
                    .filter(o -> o.startsWith(name))
                    .findFirst()
                    .orElse(name + "1:ALIVE"));
        }
        return say(at, router, 1, "view", "epoch", epoch, "majority", majority, "members", members);
    }

    History allView(double at, int epoch) {
        for (int r = 0; r < ROUTERS; r++) {
            view(at + 0.01 * r, r, epoch, true);
        }
        return this;
    }

    /** All hold a calendar, which n0 had accepted. */
    History calendar(double at, String version, String hash, String... windows) {
        say(at, 0, 1, "calendar.accepted", "version", version, "hash", hash);
        say(at + 0.05, 0, 1, "calendar.windows", "version", version, "windows", List.of(windows));
        for (int r = 1; r < ROUTERS; r++) {
            say(at + 0.1, r, 1, "calendar.learned", "version", version, "hash", hash);
        }
        return this;
    }

    static String window(double from, double until, String scope) {
        return (WALL + (long) (from * 1000)) + ".." + (WALL + (long) (until * 1000)) + " " + scope;
    }

    /** n0 and n1 hear nothing of the others for a while. */
    History parted(double from, double until) {
        hearing = (a, b, at) -> !(at >= from && at < until && a < 2 != b < 2);
        lastFault = until;
        return this;
    }

    History still(int router, double from, double until) {
        still.computeIfAbsent(router, r -> new ArrayList<>()).add(new Span(from, until));
        lastFault = until;
        return this;
    }

    History proposed(double at, int router) {
        proposals.add(new Proposal(at, router));
        return this;
    }

    History seen(Observations what) {
        seen = what;
        return this;
    }

    List<HistoryEntry> told() {
        List<HistoryEntry> told = new ArrayList<>();
        lines.forEach((router, of) -> {
            List<String> wrong = HistoryLines.read(router, of, 0, told);
            if (!wrong.isEmpty()) {
                throw new IllegalStateException(wrong.toString());
            }
        });
        return told;
    }

    Verdict judge(Guarantee promise) {
        Evidence evidence = new Evidence(
                told(),
                new Timeline(ROUTERS, still, hearing, 60),
                lastFault,
                60,
                proposals,
                new Limits(3, 1, 1000, 10),
                seen);
        return Checker.judge(evidence).get(promise.ordinal());
    }
}
