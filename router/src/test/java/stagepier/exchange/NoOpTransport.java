package stagepier.exchange;

/** A server side that sends nothing; tests override what they are about. */
public abstract class NoOpTransport implements ServerTransport {
    @Override
    public Transmission send(Exchange exchange, int attempt, long server, double timeout) {
        throw new AssertionError("a request was sent");
    }

    @Override
    public void probe(long server) {
        throw new AssertionError("a server was probed");
    }

    @Override
    public void closeIdle(long server) {}
}
