package stagepier.lab.ledger;

/** What was seen from outside, by clients, cache nodes and discovery. Times in seconds on one clock. */
public sealed interface Event {
    /** Requests below 0 are copies that a shadow sends: no client asked for them, and nobody is owed their answers. */
    long COPIES = Long.MIN_VALUE;

    double at();

    /** A client wrote the last byte of a request. {@code deadline}: seconds that it will wait from then on. */
    record RequestSent(double at, long request, int router, int kind, long key, double deadline) implements Event {}

    /** How a request ended at its client. */
    enum End {
        SERVED,
        REFUSED,
        FAILED,
        /** The router closed the connection instead. */
        CLOSED,
        /** The same on one that had been idle: the router may have closed it before it could read the request. */
        CLOSED_IDLE,
        UNANSWERED
    }

    /** A request's end. {@code token}: of what was served, 0 otherwise. */
    record Ended(double at, long request, End end, long token) implements Event {}

    /** A line came that answers nothing that was asked on that connection, or a second answer. */
    record UnexpectedLine(double at, int router, String line) implements Event {}

    /** A whole request arrived at a cache node, which will run it or turn it away. */
    record Arrived(double at, double firstByteAt, long request, int router, int node, boolean runs) implements Event {}

    /** A cache node made an answer for a request. */
    record AnswerMade(double at, long request, int node, long token) implements Event {}

    /** Discovery wrote to a router that a node drains or is gone ({@code usable} false), or that it may be used. */
    record Announced(double at, int router, int node, boolean usable) implements Event {}

    /** A router has told staff that a node is out, or that it is back; whatever discovery says, that holds. */
    record OperatorChange(double at, int router, int node, boolean out) implements Event {}

    /** A router was killed or ended, or is up again. */
    record Router(double at, int router, boolean up) implements Event {}

    /** A router's process stands still from now on, or goes on: it owes no answers meanwhile, and remembers all it was told. */
    record Stalled(double at, int router, boolean stalled) implements Event {}

    /** A cold node was pushed over. */
    record NodeOverloaded(double at, int node) implements Event {}

    /** The origin stopped. {@code coldPart}: part of what it was sent that came from cold nodes. */
    record Stopped(double at, double coldPart) implements Event {}
}
