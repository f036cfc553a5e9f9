package stagepier.lab.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * All that a verdict is made from.
 *
 * @param told      the histories of all routers, in the order of time
 * @param timeline  who ran and who heard whom
 * @param lastFault seconds at which the last fault was over, and all that had ended were up again
 * @param until     seconds at which the run was over
 * @param proposals what staff proposed
 * @param limits    what holds for this fleet
 * @param seen      what the lab saw from outside
 */
public record Evidence(
        List<HistoryEntry> told,
        Timeline timeline,
        double lastFault,
        double until,
        List<Proposal> proposals,
        Limits limits,
        Observations seen) {
    /** Staff have had a changed calendar read at a router. */
    public record Proposal(double at, int router) {}

    /**
     * @param lease        seconds for which a confirmed calendar is relied on
     * @param skew         seconds by which wall clocks may differ
     * @param trafficMost  bytes a second that a router may send to others, as a mean of 10 s; 0 for no bound
     * @param copiesBudget copies a second over all routers; 0 for no shadow
     */
    public record Limits(double lease, double skew, double trafficMost, double copiesBudget) {}

    /**
     * @param drains  broken rules on drains and what staff take out, as the ledger has them
     * @param traffic bytes that each router sent to others, a number a second
     * @param without the histories of the same run with the shadow off; empty where it was not played
     */
    public record Observations(List<String> drains, Map<Integer, List<Long>> traffic, List<HistoryEntry> without) {
        public static final Observations NOTHING = new Observations(List.of(), Map.of(), List.of());
    }

    public Evidence {
        told = told.stream()
                .sorted(Comparator.comparingDouble(HistoryEntry::at))
                .toList();
    }

    /** The number of a router by its name, as the lab names them; -1 for a stranger. */
    int number(String router) {
        try {
            int number = router.startsWith("n") ? Integer.parseInt(router.substring(1)) : -1;
            return number < timeline.routers() ? number : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    List<HistoryEntry> of(String event) {
        return told.stream().filter(t -> t.is(event) && number(t.router()) >= 0).toList();
    }

    /** Some events by who wrote them, each list in the order of time. */
    Map<Integer, List<HistoryEntry>> byRouter(Predicate<HistoryEntry> which) {
        Map<Integer, List<HistoryEntry>> all = new TreeMap<>();
        told.stream()
                .filter(t -> number(t.router()) >= 0 && which.test(t))
                .forEach(t -> all.computeIfAbsent(number(t.router()), r -> new ArrayList<>())
                        .add(t));
        return all;
    }

    /** The last of them at a moment, or null. */
    static HistoryEntry at(List<HistoryEntry> of, double when) {
        HistoryEntry last = null;
        for (HistoryEntry t : of) {
            if (t.at() > when) {
                break;
            }
            last = t;
        }
        return last;
    }
}
