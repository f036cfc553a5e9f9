package stagepier;

/** A server as this balancer knows it. */
final class Server {
    final long id;
    final int slot;
    CircuitBreaker breaker = new CircuitBreaker();
    final Bulkhead bulkhead;
    WarmUp warmUp;
    final Crowd crowd;
    final FadingCount sends;
    final FailureRate fetches;
    /** Its last entry in the list. */
    Api.Member member;
    int kind;
    double size;
    /** Its part of the ring; 0 while it has none. */
    double weight;
    boolean ready;
    boolean listed;
    /** What other balancers told: their attempts out there, and how many of them have a circuit open. */
    int elsewhere;
    int openElsewhere;
    /** When it could not be reached, until it answers. */
    double unreachedAt = Double.NEGATIVE_INFINITY;
    /** Running mean of its answer times. */
    double lag;
    double lagAt = Double.NEGATIVE_INFINITY;
    boolean saidFull;

    Server(long id, int slot, Api.Protection protection, double shortestDeadline) {
        this.id = id;
        this.slot = slot;
        bulkhead = new Bulkhead(shortestDeadline);
        warmUp = new WarmUp(protection, 0, 0, 0);
        crowd = new Crowd(shortestDeadline);
        sends = new FadingCount(Brain.EVIDENCE_FADES * shortestDeadline);
        fetches = new FailureRate(Brain.FETCH_FADES * shortestDeadline);
    }
}
