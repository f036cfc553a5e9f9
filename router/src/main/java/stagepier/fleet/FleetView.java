package stagepier.fleet;

import java.util.List;
import java.util.Optional;

/**
 * What one router holds of the fleet, at one moment. Immutable: the event loop and all tasks read it.
 *
 * @param self     this router's name
 * @param epoch    grows with each change of any member's incarnation or state; never runs back in one incarnation
 * @param majority whether this router and those alive or suspect that it hears are more than half of the configured fleet
 * @param members  one for each router of {@code fleet.toml}, in the order of their names
 */
public record FleetView(String self, long epoch, boolean majority, List<Member> members) {
    /** How a member is held to be. */
    public enum State {
        ALIVE,
        SUSPECT,
        GONE,
        LEFT
    }

    /**
     * What each router says of itself, told on by the others.
     *
     * @param build         version of the program
     * @param configuration hash of {@code fleet.toml}
     * @param serverList    generation of the list of cache servers; -1 for none yet
     * @param calendar      version of the calendar that it holds; 0 for none
     * @param candidate     version of the candidate map that it holds; 0 for none
     */
    public record Facts(String build, String configuration, long serverList, long calendar, long candidate) {
        public static final Facts NONE = new Facts("", "", -1, 0, 0);
    }

    /**
     * @param incarnation grows with each start of the process and each time that it contradicts a suspicion; 0 for one that was
     *                    never heard of
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
