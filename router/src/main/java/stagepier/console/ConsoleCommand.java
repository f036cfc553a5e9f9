package stagepier.console;

/** What staff ask of a running router, in no front's words. */
public sealed interface ConsoleCommand {
    /** Whether this process is ready to serve. */
    record Status() implements ConsoleCommand {}

    /** Take a cache server out. */
    record Suspend(String server) implements ConsoleCommand {}

    /** Put a cache server back. */
    record Restore(String server) implements ConsoleCommand {}

    /** Send clients away. */
    record Pause() implements ConsoleCommand {}

    /** The drain is over. */
    record Resume() implements ConsoleCommand {}
}
