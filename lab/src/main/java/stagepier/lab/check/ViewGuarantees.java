package stagepier.lab.check;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** P1 to P4: what the view of the fleet promises. */
final class ViewGuarantees {
    /** Seconds within which a view settles, and a minority says that it is one. */
    static final double SETTLES = 3;
    /** Seconds for which it then stays. */
    private static final double STAYS = 60;
    /** Seconds after any trouble of a member's within which it may still be called gone. */
    private static final double EXCUSED = 5;
    /** What the lab's own clockwork may be off by, in seconds. */
    static final double SLACK = 0.3;

    private static final int TRAFFIC_SPAN = 10;

    private final Evidence evidence;
    private final Timeline timeline;
    private final Map<Integer, List<HistoryEntry>> views;

    ViewGuarantees(Evidence evidence) {
        this.evidence = evidence;
        timeline = evidence.timeline();
        views = evidence.byRouter(t -> t.is("view"));
    }

    Verdict settles() {
        double settled = evidence.lastFault() + SETTLES + SLACK;
        if (settled > evidence.until() || views.isEmpty()) {
            return Verdict.kept(Guarantee.P1, 0);
        }
        int looks = 0;
        for (int r = 0; r < timeline.routers(); r++) {
            // The step in which the last fault ended still counts as one with it.
            if (!timeline.runs(r, evidence.lastFault() + Timeline.STEP, settled)) {
                continue;
            }
            HistoryEntry here = Evidence.at(views.getOrDefault(r, List.of()), settled);
            if (here == null) {
                return Verdict.broken(Guarantee.P1, "n%d holds no view at %.1f s".formatted(r, settled), List.of());
            }
            BitSet around = timeline.around(r, timeline.step(settled));
            for (int other = around.nextSetBit(r + 1); other >= 0; other = around.nextSetBit(other + 1)) {
                HistoryEntry there = Evidence.at(views.getOrDefault(other, List.of()), settled);
                if (there != null && !members(here).equals(members(there))) {
                    return Verdict.broken(
                            Guarantee.P1,
                            "n%d and n%d hear each other and differ %.1f s after the last fault"
                                    .formatted(r, other, SETTLES),
                            List.of(here, there));
                }
            }
            for (HistoryEntry later : views.get(r)) {
                if (later.at() > settled
                        && later.at() <= settled + STAYS
                        && !members(later).equals(members(here))) {
                    return Verdict.broken(
                            Guarantee.P1,
                            "n%d changes its view %.1f s after the last fault"
                                    .formatted(r, later.at() - evidence.lastFault()),
                            List.of(here, later));
                }
            }
            looks++;
        }
        return Verdict.kept(Guarantee.P1, looks);
    }

    /** By name, the member as it stands in a view: {@code name:incarnation:STATE}. */
    private static Map<String, String> members(HistoryEntry view) {
        Map<String, String> all = new TreeMap<>();
        view.texts("members").forEach(m -> all.put(m.split(":")[0], m));
        return all;
    }

    /** One that was never heard of is not called gone, whatever stands for that. */
    private static boolean isCalledGone(String member) {
        String[] words = member.split(":");
        return words.length >= 3 && words[2].equals("GONE") && !words[1].equals("0");
    }

    Verdict nobodyAliveIsGone() {
        int looks = 0;
        for (var of : views.entrySet()) {
            Map<String, String> before = Map.of();
            for (HistoryEntry view : of.getValue()) {
                Map<String, String> now = members(view);
                for (var member : now.entrySet()) {
                    looks++;
                    boolean isNew =
                            isCalledGone(member.getValue()) && !isCalledGone(before.getOrDefault(member.getKey(), ""));
                    int gone = evidence.number(member.getKey());
                    if (isNew && gone >= 0 && isUnbroken(gone, of.getKey(), view.at())) {
                        return Verdict.broken(
                                Guarantee.P2,
                                "n%d calls %s gone, which ran and was heard for %.0f s"
                                        .formatted(of.getKey(), member.getKey(), EXCUSED),
                                List.of(view));
                    }
                }
                before = now;
            }
        }
        return Verdict.kept(Guarantee.P2, looks);
    }

    /** That who judges stood still itself is no excuse for its judgement. */
    private boolean isUnbroken(int member, int judge, double at) {
        for (int i = timeline.step(Math.max(0, at - EXCUSED)); i <= timeline.step(at); i++) {
            if (!timeline.runs(member, i)
                    || timeline.runs(judge, i) && !timeline.side(member, i).get(judge)) {
                return false;
            }
        }
        return true;
    }

    Verdict epochsAndMinorities() {
        int looks = 0;
        Map<String, HistoryEntry> last = new HashMap<>();
        for (HistoryEntry view : evidence.of("view")) {
            HistoryEntry before = last.put(view.router() + ":" + view.process(), view);
            if (before != null && view.number("epoch", 0) < before.number("epoch", 0)) {
                return Verdict.broken(Guarantee.P3, view.router() + "'s epoch runs back", List.of(before, view));
            }
            looks++;
        }
        int majority = timeline.routers() / 2 + 1;
        for (var of : views.entrySet()) {
            double since = Double.NaN;
            for (int i = 0; i < timeline.steps(); i++) {
                int size = timeline.runs(of.getKey(), i)
                        ? timeline.side(of.getKey(), i).cardinality()
                        : 0;
                if (size == 0 || size >= majority) {
                    since = Double.NaN;
                    continue;
                }
                double now = i * Timeline.STEP;
                since = Double.isNaN(since) ? now : since;
                HistoryEntry view = Evidence.at(of.getValue(), now);
                if (now > since + SETTLES + SLACK && view != null && view.flag("majority")) {
                    return Verdict.broken(
                            Guarantee.P3,
                            "n%d is with %d others of %d since %.1f s and says at %.1f s that it is in a majority"
                                    .formatted(of.getKey(), size - 1, timeline.routers(), since, now),
                            List.of(view));
                }
            }
        }
        return Verdict.kept(Guarantee.P3, looks);
    }

    Verdict traffic() {
        double most = evidence.limits().trafficMost();
        if (most <= 0) {
            return Verdict.kept(Guarantee.P4, 0);
        }
        int looks = 0;
        for (var of : evidence.seen().traffic().entrySet()) {
            List<Long> seconds = of.getValue();
            for (int i = 0; i + TRAFFIC_SPAN <= seconds.size(); i++) {
                double mean = seconds.subList(i, i + TRAFFIC_SPAN).stream()
                        .mapToLong(b -> b)
                        .average()
                        .orElse(0);
                if (mean > most) {
                    return Verdict.broken(
                            Guarantee.P4,
                            "n%d sent %.0f bytes a second to others from %d s on for %d s, the bound is %.0f"
                                    .formatted(of.getKey(), mean, i, TRAFFIC_SPAN, most),
                            List.of());
                }
                looks++;
            }
        }
        return Verdict.kept(Guarantee.P4, looks);
    }
}
