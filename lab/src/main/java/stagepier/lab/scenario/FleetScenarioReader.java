package stagepier.lab.scenario;

import java.util.ArrayList;
import java.util.List;

/** Reads what a scenario says of a fleet that decides together. */
final class FleetScenarioReader {
    private static final double DAY = 86_400;

    private FleetScenarioReader() {}

    /** @return null where the scenario says nothing of it, or says that it is off */
    static FleetScenario read(Table root, int routers, double seconds) {
        boolean there = root.has("together");
        Table t = root.sub("together");
        boolean on = t.flag("on", true);
        List<FleetScenario.Proposal> proposals = new ArrayList<>();
        for (Table p : t.subs("proposal")) {
            proposals.add(proposal(p, routers, seconds));
        }
        List<FleetScenario.Candidate> candidates = new ArrayList<>();
        for (Table c : t.subs("candidate_read")) {
            List<Integer> where = c.wholes("routers", 0, routers - 1);
            candidates.add(new FleetScenario.Candidate(
                    c.number("at_s", 1, 0, seconds), where.isEmpty() ? List.of(0) : where, c.word("candidate", "")));
            c.end();
        }
        FleetScenario together = new FleetScenario(
                t.number("lease_ms", 3000, 100, 600_000) / 1e3,
                t.number("skew_ms", 2000, 0, 600_000) / 1e3,
                t.number("link_bytes_per_s", 0, 0, 1e9),
                t.number("copies_per_s", 0, 0, 1e6),
                t.wholes("clock_offsets_ms", -3_600_000, 3_600_000),
                t.word("candidate", ""),
                t.flag("has_calendar", true),
                t.word("calendar", ""),
                List.copyOf(proposals),
                List.copyOf(candidates));
        if (together.clockOffsets().size() > routers) {
            t.error("clock_offsets_ms", "names more routers than there are");
        }
        if (!together.hasCalendar() && !together.proposals().isEmpty()) {
            t.error("has_calendar", "must be true where something is proposed");
        }
        t.end();
        return there && on ? together : null;
    }

    private static FleetScenario.Proposal proposal(Table t, int routers, double seconds) {
        double at = t.number("at_s", 1, 0, seconds);
        List<Integer> where = t.wholes("routers", 0, routers - 1);
        List<FleetScenario.Window> windows = new ArrayList<>();
        for (Table w : t.subs("window")) {
            double from = w.number("from_s", 0, -DAY, DAY);
            double until = w.number("until_s", DAY, -DAY, DAY);
            if (until <= from) {
                w.error("until_s", "must be above from_s");
            }
            String scope = w.word("scope", "all");
            if (!scope.matches("all|zone:[a-z0-9-]+|kind:[A-Z_]+")) {
                w.error("scope", "must be all, zone:NAME or kind:NAME");
            }
            windows.add(new FleetScenario.Window(w.word("name", "window"), from, until, scope));
            w.end();
        }
        t.end();
        return new FleetScenario.Proposal(at, where.isEmpty() ? List.of(0) : where, List.copyOf(windows));
    }
}
