package stagepier.lab.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import stagepier.lab.check.Windows.Version;

/** P5 to P8: what the calendar promises. */
final class CalendarGuarantees {
    private static final double ACCEPTED_WITHIN = 2;
    private static final double KNOWN_WITHIN = 3;
    /** All changes that may wait; whatever else is held is held wrongly. */
    private static final Set<String> VOLUNTARY =
            Set.of("ADD_SERVER", "WEIGHT", "ZONE", "ADDRESS", "MOVE_DISCOVERY", "RESTORE", "PROMOTE");

    private final Evidence evidence;
    private final Timeline timeline;
    private final int majority;

    CalendarGuarantees(Evidence evidence) {
        this.evidence = evidence;
        timeline = evidence.timeline();
        majority = timeline.routers() / 2 + 1;
    }

    private static boolean isTakenUp(HistoryEntry t) {
        return t.is("calendar.accepted") || t.is("calendar.learned");
    }

    Verdict oneSequence() {
        int looks = 0;
        Map<Version, HistoryEntry> byVersion = new HashMap<>();
        Map<String, HistoryEntry> byProcess = new HashMap<>();
        for (HistoryEntry t : evidence.told()) {
            if (!isTakenUp(t)) {
                continue;
            }
            HistoryEntry first = byVersion.putIfAbsent(Version.of(t), t);
            if (first != null && !first.text("hash").equals(t.text("hash"))) {
                return Verdict.broken(
                        Guarantee.P5,
                        "%s and %s hold different calendars as version %s"
                                .formatted(first.router(), t.router(), t.text("version")),
                        List.of(first, t));
            }
            HistoryEntry before = byProcess.put(t.router() + ":" + t.process(), t);
            if (before != null && Version.of(t).compareTo(Version.of(before)) < 0) {
                return Verdict.broken(
                        Guarantee.P5, t.router() + " goes back to an earlier version", List.of(before, t));
            }
            looks++;
        }
        return Verdict.kept(Guarantee.P5, looks);
    }

    Verdict nothingInAWindow() {
        Windows windows = new Windows(evidence);
        int looks = 0;
        for (HistoryEntry t : evidence.told()) {
            if (!t.is("topology.admitted") && !t.is("topology.released")) {
                continue;
            }
            HistoryEntry by = windows.forbids(
                    t.text("kind"),
                    t.text("zone"),
                    t,
                    evidence.limits().lease() + evidence.limits().skew());
            if (by != null) {
                return Verdict.broken(
                        Guarantee.P6,
                        "%s admits %s of '%s' inside a window that was accepted %.1f s before"
                                .formatted(t.router(), t.text("kind"), t.text("server"), t.at() - by.at()),
                        List.of(by, t));
            }
            looks++;
        }
        // What was held shows as well that there was something to hold.
        return Verdict.kept(
                Guarantee.P6,
                windows.areKnown() ? looks + evidence.of("topology.held").size() : 0);
    }

    Verdict othersNeverWait() {
        if (!evidence.seen().drains().isEmpty()) {
            return Verdict.broken(Guarantee.P7, evidence.seen().drains().get(0), List.of());
        }
        int looks = 0;
        for (HistoryEntry t : evidence.told()) {
            if (!t.event().startsWith("topology.")) {
                continue;
            }
            boolean waits = t.is("topology.held") || t.is("topology.refused");
            if (waits && !VOLUNTARY.contains(t.text("kind"))) {
                return Verdict.broken(
                        Guarantee.P7,
                        "%s lets %s of '%s' wait".formatted(t.router(), t.text("kind"), t.text("server")),
                        List.of(t));
            }
            looks++;
        }
        return Verdict.kept(Guarantee.P7, looks);
    }

    Verdict inTime() {
        Map<Integer, List<HistoryEntry>> taken = evidence.byRouter(CalendarGuarantees::isTakenUp);
        int looks = 0;
        for (Evidence.Proposal p : evidence.proposals()) {
            double due = p.at() + ACCEPTED_WITHIN + ViewGuarantees.SLACK;
            if (due > evidence.until() || !timeline.among(p.router(), majority, p.at(), due)) {
                continue;
            }
            if (taken.getOrDefault(p.router(), List.of()).stream().noneMatch(t -> t.at() >= p.at() && t.at() <= due)) {
                return Verdict.broken(
                        Guarantee.P8,
                        "what staff proposed at n%d at %.1f s, in a majority, was not accepted within 2 s"
                                .formatted(p.router(), p.at()),
                        taken.getOrDefault(p.router(), List.of()));
            }
            looks++;
        }
        for (HistoryEntry first : evidence.of("calendar.accepted")) {
            double due = Math.max(first.at(), evidence.lastFault()) + KNOWN_WITHIN + ViewGuarantees.SLACK;
            for (int r = 0; r < timeline.routers() && due <= evidence.until(); r++) {
                if (!timeline.among(r, majority, due - KNOWN_WITHIN - ViewGuarantees.SLACK, due)) {
                    continue;
                }
                HistoryEntry last = Evidence.at(ofItsProcess(taken.getOrDefault(r, List.of()), r, due), due);
                if (last == null || Version.of(last).compareTo(Version.of(first)) < 0) {
                    return Verdict.broken(
                            Guarantee.P8,
                            "n%d does not know version %s at %.1f s".formatted(r, first.text("version"), due),
                            last == null ? List.of(first) : List.of(first, last));
                }
                looks++;
            }
        }
        return Verdict.kept(Guarantee.P8, looks);
    }

    /** What an earlier process of that router held, the one that runs at a moment does not. */
    private List<HistoryEntry> ofItsProcess(List<HistoryEntry> of, int router, double at) {
        HistoryEntry last = Evidence.at(evidence.byRouter(t -> true).getOrDefault(router, List.of()), at);
        return of.stream()
                .filter(t -> last != null && t.process() == last.process())
                .toList();
    }
}
