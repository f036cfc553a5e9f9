package stagepier.console;

/** A command of the operators to a running router, independent of the protocol that carries it. */
public sealed interface ConsoleCommand {
    /** Asks whether this process is ready to serve. */
    record Status() implements ConsoleCommand {}

    /** Takes a cache server out. */
    record Suspend(String server) implements ConsoleCommand {}

    /** Puts a cache server back. */
    record Restore(String server) implements ConsoleCommand {}

    /** Drains the clients. */
    record Pause() implements ConsoleCommand {}

    /** Ends the drain. */
    record Resume() implements ConsoleCommand {}
}
