package stagepier.exchange;

/** The servers' side, as exchanges see it. Each send ends in exactly one {@link ModuleHost#ended}. */
public interface Carrier {
    /** An execution that can be given up. */
    interface Sending {
        void cancel();
    }

    Sending send(Exchange exchange, int attempt, long server, double timeout);

    /** Ends in exactly one {@link ModuleHost#probed}. */
    void probe(long server);

    void closeIdle(long server);
}
