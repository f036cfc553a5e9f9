package stagepier.fleet;

/**
 * Writes events of a process, one at a time, for the checker of the test laboratory. Nothing is written in production.
 * May be called from any thread.
 */
@FunctionalInterface
public interface History {
    History NONE = (event, namesAndValues) -> {};

    /**
     * Writes an event.
     *
     * @param event          name of the event, such as {@code view}, {@code calendar.accepted}, {@code topology.held}
     * @param namesAndValues alternating names and values; values are strings, numbers, and lists of these
     */
    void write(String event, Object... namesAndValues);
}
