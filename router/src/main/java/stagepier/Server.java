package stagepier;

/** State that this router keeps for one server. */
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
    /** Weight on the ring; 0 while it is not on the ring. */
    double weight;

    boolean ready;
    boolean listed;
    /** Reported by peers: their attempts in flight, and how many of them have a circuit open. */
    int peerInFlight;

    int openAtPeers;
    /** Time of the last failed connect; negative infinity after any other outcome. */
    double failedAt = Double.NEGATIVE_INFINITY;

    /** Moving average of answer times in seconds, and the time of its last update. */
    double lag;

    double lagAt = Double.NEGATIVE_INFINITY;
    boolean wasFull;

    Server(long id, int slot, Api.Protection protection) {
        this.id = id;
        this.slot = slot;
        warmUp = new WarmUp(protection, 0, 0, 0);
    }
}
