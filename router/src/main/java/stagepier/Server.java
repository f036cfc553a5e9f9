package stagepier;

/** A server as this balancer knows it. */
final class Server {
    final long id;
    final int slot;
    CircuitBreaker breaker = new CircuitBreaker();
    final Bulkhead bulkhead = new Bulkhead();
    WarmUp warmUp;
    final LoadShedder shedder = new LoadShedder();
    final FadingCount sends = new FadingCount();
    final FailureRate fetches = new FailureRate();
    int zone;
    int cell;
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

    double lag;
    double lagAt = Double.NEGATIVE_INFINITY;
    boolean saidFull;

    Server(long id, int slot, Api.Protection protection) {
        this.id = id;
        this.slot = slot;
        warmUp = new WarmUp(protection, 0, 0, 0);
    }
}
