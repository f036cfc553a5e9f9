package stagepier.fleet;

/**
 * What a process tells the lab's checker about itself, an event at a time. In service nothing is written. May be called from any
 * thread.
 */
@FunctionalInterface
public interface History {
    History NONE = (event, namesAndValues) -> {};

    /**
     * @param event          such as {@code view}, {@code calendar.accepted}, {@code topology.held}
     * @param namesAndValues a name, its value, a name, its value...: strings, numbers, and lists of these
     */
    void write(String event, Object... namesAndValues);
}
