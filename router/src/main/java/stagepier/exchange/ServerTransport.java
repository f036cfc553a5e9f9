package stagepier.exchange;

/** The servers' side, as exchanges see it. Each send ends in exactly one {@link ModuleHost#ended}. */
public interface ServerTransport {
    /** An execution that can be given up. */
    interface Transmission {
        void cancel();

        /**
         * Nobody waits for it any more: it is not sent, or not to its end, if that can still be, and goes on where all of it was.
         */
        default void withdraw() {}

        /** It has been handed to its socket. */
        default boolean isOut() {
            return true;
        }

        /** When it was handed to its socket nothing else was awaited there. */
        default boolean isAlone() {
            return true;
        }
    }

    Transmission send(Exchange exchange, int attempt, long server, double timeout);

    /**
     * The same where no byte of it may be sent after a moment, in seconds of the {@link Clock}: it then ends as never sent.
     * Where nothing waits before it is sent, there is nothing to look at.
     */
    default Transmission send(Exchange exchange, int attempt, long server, double timeout, double latestStart) {
        return send(exchange, attempt, server, timeout);
    }

    /** Ends in exactly one {@link ModuleHost#probed}. */
    void probe(long server);

    void closeIdle(long server);
}
