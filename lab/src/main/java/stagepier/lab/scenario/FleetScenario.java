package stagepier.lab.scenario;

import java.util.List;

/**
 * A fleet that decides together, as the table {@code [together]} has it.
 *
 * @param lease         seconds for which a confirmed calendar is relied on
 * @param skew          seconds by which wall clocks may differ
 * @param trafficMost   bytes a second that a router may send to others, as a mean of 10 s; 0 where no bound is looked at
 * @param copiesBudget  copies a second over all routers; 0 where there is no shadow
 * @param clockOffsets  milliseconds by which each router's wall clock is off; those that are not named are right
 * @param candidate     text of the candidate map, or ""
 * @param hasCalendar   whether routers agree on a calendar; without, only the view is there
 * @param calendar      text of the calendar from the start on, or "" for one without windows
 * @param proposals     what staff propose meanwhile
 * @param candidates    candidate maps that staff give meanwhile
 */
public record FleetScenario(
        double lease,
        double skew,
        double trafficMost,
        double copiesBudget,
        List<Integer> clockOffsets,
        String candidate,
        boolean hasCalendar,
        String calendar,
        List<Proposal> proposals,
        List<Candidate> candidates) {
    /**
     * Staff write a new calendar and have it read.
     *
     * @param at      seconds after the start of the load
     * @param routers at which it is read, at the same moment
     * @param windows all that the new calendar holds
     */
    public record Proposal(double at, List<Integer> routers, List<Window> windows) {}

    /**
     * Staff write a new candidate map, or what they wish of it, and have it read.
     *
     * @param at      seconds after the start of the load
     * @param routers at which it is read
     */
    public record Candidate(double at, List<Integer> routers, String text) {}

    /**
     * @param from  seconds after the start of the load
     * @param until the same; a day where it is endless for a run
     * @param scope {@code all}, {@code zone:NAME} or {@code kind:NAME}
     */
    public record Window(String name, double from, double until, String scope) {}

    /** Milliseconds by which a router's wall clock is off. */
    public int clockOffset(int router) {
        return router < clockOffsets.size() ? clockOffsets.get(router) : 0;
    }
}
