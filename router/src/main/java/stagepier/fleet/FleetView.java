package stagepier.fleet;

import java.util.List;
import java.util.Optional;

/**
 * A snapshot of one router's view of the fleet. Immutable, since the event loop and all tasks read it.
 *
 * @param self     name of this router
 * @param epoch    increases with each change of any member's incarnation or state; never decreases within one
 *                 incarnation of this router
 * @param majority whether this router and the alive or suspect members with recent contact are more than
 *                 half of the configured fleet
 * @param members  one entry for each router of {@code fleet.toml}, ordered by name
 */
public record FleetView(String self, long epoch, boolean majority, List<Member> members) {
    /** State of a member as this router sees it. */
    public enum State {
        ALIVE,
        SUSPECT,
        GONE,
        LEFT
    }

    /**
     * Properties that each router publishes about itself and the other routers forward.
     *
     * @param build         version of the program
     * @param configuration hash of {@code fleet.toml}
     * @param serverList    generation of the list of cache servers; -1 before the first list
     * @param calendar      version of the router's calendar; 0 if it has none
     * @param candidate     version of the router's candidate map; 0 if it has none
     */
    public record Facts(String build, String configuration, long serverList, long calendar, long candidate) {
        public static final Facts NONE = new Facts("", "", -1, 0, 0);
    }

    /**
     * One member of the fleet.
     *
     * @param incarnation increases with each start of the process and each time that the member refutes a suspicion; 0
     *                    for a member about which nothing is known yet
     */
    public record Member(String name, long incarnation, State state, Facts facts) {
        public boolean counts() {
            return state == State.ALIVE || state == State.SUSPECT;
        }
    }

    public FleetView {
        members = List.copyOf(members);
    }

    public Optional<Member> member(String name) {
        return members.stream().filter(m -> m.name().equals(name)).findFirst();
    }
}
