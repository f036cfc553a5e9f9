package stagepier.lab.check;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** P9 to P12: what the shadow map promises. */
final class ShadowGuarantees {
    /** Seconds after which a side of a partition knows how large it is. */
    private static final double KNOWN_AFTER = 4;
    /** Seconds for which two routers may serve from two maps: the step. */
    private static final double STEP_TAKES = 3;

    private final Evidence evidence;
    private final Timeline timeline;

    ShadowGuarantees(Evidence evidence) {
        this.evidence = evidence;
        timeline = evidence.timeline();
    }

    private static String outcome(HistoryEntry real) {
        return real.text("server") + " " + real.text("attempts") + " " + real.text("answer");
    }

    Verdict nothingReal() {
        Map<String, HistoryEntry> real = new HashMap<>();
        for (HistoryEntry t : evidence.of("shadow.real")) {
            HistoryEntry first = real.putIfAbsent(t.text("id"), t);
            if (first != null) {
                return Verdict.broken(
                        Guarantee.P9, "request " + t.text("id") + " has two real ends", List.of(first, t));
            }
        }
        int looks = real.size();
        for (HistoryEntry copy : evidence.of("shadow.copy")) {
            HistoryEntry of = real.get(copy.text("id"));
            if (of != null && of.text("server").equals(copy.text("server"))) {
                return Verdict.broken(
                        Guarantee.P9,
                        "the copy of request %s went where the real one was served".formatted(copy.text("id")),
                        List.of(copy, of));
            }
        }
        for (HistoryEntry without : evidence.seen().without()) {
            HistoryEntry with = without.is("shadow.real") ? real.get(without.text("id")) : null;
            if (with != null && !outcome(with).equals(outcome(without))) {
                return Verdict.broken(
                        Guarantee.P9,
                        "request %s ends otherwise with the shadow off".formatted(with.text("id")),
                        List.of(with, without));
            }
        }
        return Verdict.kept(Guarantee.P9, looks);
    }

    Verdict withinBudget() {
        double budget = evidence.limits().copiesBudget();
        List<HistoryEntry> copies = evidence.of("shadow.copy");
        int first = 0;
        for (int i = 0; i < copies.size(); i++) {
            HistoryEntry copy = copies.get(i);
            while (copies.get(first).at() <= copy.at() - 1) {
                first++;
            }
            List<HistoryEntry> second = copies.subList(first, i + 1);
            if (second.size() > Math.ceil(budget)) {
                return Verdict.broken(
                        Guarantee.P10,
                        "%d copies within a second, the budget is %.1f".formatted(second.size(), budget),
                        second);
            }
            BitSet side = steadySide(evidence.number(copy.router()), copy.at());
            if (side.isEmpty() || side.cardinality() == timeline.routers()) {
                continue;
            }
            boolean minority = side.cardinality() <= timeline.routers() / 2;
            double share = minority ? 0 : budget * side.cardinality() / timeline.routers();
            List<HistoryEntry> ofSide = second.stream()
                    .filter(t -> side.get(evidence.number(t.router())))
                    .toList();
            if (ofSide.size() > Math.ceil(share)) {
                return Verdict.broken(
                        Guarantee.P10,
                        "%d copies within a second on a side of %d of %d"
                                .formatted(ofSide.size(), side.cardinality(), timeline.routers()),
                        ofSide);
            }
        }
        return Verdict.kept(Guarantee.P10, copies.size());
    }

    /** The side that a router has been on for so long that it knows; empty where it changed meanwhile. */
    private BitSet steadySide(int router, double at) {
        BitSet side = timeline.side(router, timeline.step(at));
        for (int i = timeline.step(Math.max(0, at - KNOWN_AFTER)); i < timeline.step(at); i++) {
            if (!timeline.side(router, i).equals(side)) {
                return new BitSet();
            }
        }
        return side;
    }

    Verdict countersAreSums() {
        Map<String, List<HistoryEntry>> copies = new HashMap<>();
        evidence.of("shadow.copy")
                .forEach(t -> copies.computeIfAbsent(t.router() + ":" + t.text("incarnation"), k -> new ArrayList<>())
                        .add(t));
        Map<String, Map<String, Long>> before = new HashMap<>();
        Map<String, HistoryEntry> last = new HashMap<>();
        int looks = 0;
        for (HistoryEntry t : evidence.of("shadow.counters")) {
            // Counts begin anew with each candidate.
            String process = t.router() + ":" + t.process() + ":" + t.text("map");
            Map<String, Long> counts = counts(t);
            long sum = counts.values().stream().mapToLong(n -> n).sum();
            if (sum != (long) t.number("total", sum)) {
                return Verdict.broken(
                        Guarantee.P11,
                        "%s's total is not the sum of its counts, %d".formatted(t.router(), sum),
                        List.of(t));
            }
            for (var count : counts.entrySet()) {
                long made = copies.getOrDefault(count.getKey(), List.of()).stream()
                        .filter(c -> c.at() <= t.at())
                        .count();
                if (count.getValue() > made) {
                    return Verdict.broken(
                            Guarantee.P11,
                            "%s counts %d copies of %s, which had made %d"
                                    .formatted(t.router(), count.getValue(), count.getKey(), made),
                            List.of(t));
                }
                long earlier = before.getOrDefault(process, Map.of()).getOrDefault(count.getKey(), 0L);
                if (count.getValue() < earlier) {
                    return Verdict.broken(
                            Guarantee.P11,
                            "%s forgets copies of %s".formatted(t.router(), count.getKey()),
                            List.of(last.get(process), t));
                }
                looks++;
            }
            before.put(process, counts);
            last.put(process, t);
        }
        return Verdict.kept(Guarantee.P11, looks);
    }

    /** Copies by process, from {@code router:incarnation:copies}. */
    private static Map<String, Long> counts(HistoryEntry t) {
        Map<String, Long> all = new HashMap<>();
        for (String one : t.texts("counts")) {
            int colon = one.lastIndexOf(':');
            if (colon > 0) {
                all.put(one.substring(0, colon), Long.parseLong(one.substring(colon + 1)));
            }
        }
        return all;
    }

    Verdict oneMap() {
        Windows windows = new Windows(evidence);
        List<HistoryEntry> steps = new ArrayList<>();
        List<String> order = new ArrayList<>();
        Map<String, Integer> reached = new HashMap<>();
        int looks = 0;
        for (HistoryEntry t : evidence.of("shadow.promoted")) {
            String state = state(t);
            if (!order.contains(state)) {
                order.add(state);
                steps.add(t);
            }
            int index = order.indexOf(state);
            Integer before = reached.put(t.router() + ":" + t.process(), index);
            if (before != null && before > index) {
                return Verdict.broken(
                        Guarantee.P12, t.router() + " goes back to an earlier step", List.of(steps.get(before), t));
            }
            HistoryEntry by = t.flag("rollback")
                    ? null
                    : windows.forbids(
                            "PROMOTE",
                            "",
                            t,
                            evidence.limits().lease() + evidence.limits().skew());
            if (by != null) {
                return Verdict.broken(Guarantee.P12, t.router() + " promotes inside a freeze", List.of(by, t));
            }
            looks++;
        }
        for (int i = 0; i < steps.size(); i++) {
            HistoryEntry straggler = straggler(steps.get(i), order.subList(i, order.size()));
            if (straggler != null) {
                return Verdict.broken(
                        Guarantee.P12,
                        "%s is not at the step of %s %.0f s after it"
                                .formatted(straggler.router(), steps.get(i).router(), STEP_TAKES),
                        List.of(steps.get(i), straggler));
            }
        }
        return Verdict.kept(Guarantee.P12, looks);
    }

    private static String state(HistoryEntry t) {
        return t.text("version") + "/" + t.text("share") + "/" + t.flag("rollback");
    }

    /** The last word, of any kind, of a router that had heard the one who took a step all the time and is still before it. */
    private HistoryEntry straggler(HistoryEntry step, List<String> thereOrLater) {
        double due = step.at() + STEP_TAKES + ViewGuarantees.SLACK;
        int first = evidence.number(step.router());
        for (int r = 0; r < timeline.routers() && due <= evidence.until(); r++) {
            if (r == first || !timeline.together(first, r, step.at(), due)) {
                continue;
            }
            int router = r;
            boolean isThere = evidence.of("shadow.promoted").stream()
                    .anyMatch(t ->
                            evidence.number(t.router()) == router && t.at() <= due && thereOrLater.contains(state(t)));
            HistoryEntry last = Evidence.at(evidence.byRouter(t -> true).getOrDefault(r, List.of()), due);
            if (!isThere && last != null) {
                return last;
            }
        }
        return null;
    }
}
