package stagepier.exchange;

/** A server transport that sends nothing; tests override the methods that they need. */
public abstract class NoOpTransport implements ServerTransport {
    @Override
    public Transmission send(Exchange exchange, int attempt, long server, double timeout) {
        throw new AssertionError("unexpected send of a request");
    }

    @Override
    public void probe(long server) {
        throw new AssertionError("unexpected probe of a server");
    }

    @Override
    public void closeIdle(long server) {}
}
