package stagepier.fleet;

import java.util.List;
import java.util.Map;

/** What the routers say to each other about the view. Names of one letter: these go out ten times a second. */
final class ViewWords {
    static final String PING = "view.ping";
    static final String PONG = "view.pong";
    static final String ASK = "view.ask";
    static final String TOLD = "view.told";
    static final String SYNC = "view.sync";
    static final String SYNCED = "view.synced";

    private ViewWords() {
    }

    /**
     * News of one member.
     *
     * @param n  its name
     * @param i  its incarnation
     * @param s  its state, by its place in {@link FleetView.State}
     * @param by who found it silent, where it is suspect
     * @param v  version of its facts
     * @param f  its facts, or null where only their version is told
     */
    record News(String n, long i, int s, List<String> by, long v, FleetView.Facts f) {
    }

    /**
     * @param i     incarnation of the caller
     * @param held  incarnation that the caller holds of the one it calls
     * @param about what the caller holds of the one it calls, where that is not that it is alive: it may have to contradict
     * @param lost  members that are in, but do not answer the caller; null for none
     * @param news  what changed lately; null for nothing
     */
    record Ping(long i, long held, News about, List<String> lost, List<News> news) {
    }

    /**
     * @param i     incarnation of the one that answers
     * @param about what it holds of the caller, or null where that is as the caller says
     * @param heard by name, how many milliseconds ago a member answered somebody, for some of them
     * @param reach of those that do not answer the caller, who answered this one lately; null for none
     * @param news  what changed lately; null for nothing
     */
    record Pong(long i, News about, Map<String, Integer> heard, List<String> reach, List<News> news) {
    }

    /** Asks for the age of the last answer of a member that does not answer the caller, and to call that member. */
    record Ask(String n) {
    }

    /** @param age in milliseconds; -1 where nothing is known */
    record Told(long age) {
    }

    /** A part of all that one holds, facts left out; the reply is what the other holds newer, with facts. */
    record Sync(List<News> news) {
    }
}
