package stagepier.exchange;

/** Sends requests to cache servers. Each send leads to exactly one call of {@link ModuleHost#ended}. */
public interface ServerTransport {
    /** An execution that can be cancelled. */
    interface Transmission {
        void cancel();

        /**
         * Called when its answer is no longer needed. If the execution has not been sent whole, the rest is not sent
         * where that is still possible; an execution that has been sent whole goes on.
         */
        default void withdraw() {}

        /** Returns whether it has been written to its socket. */
        default boolean isOut() {
            return true;
        }

        /** Returns whether no other answer was pending on its socket when it was written. */
        default boolean isAlone() {
            return true;
        }
    }

    Transmission send(Exchange exchange, int attempt, long server, double timeout);

    /**
     * Sends with a limit on the start: if no byte has been sent by {@code latestStart}, in seconds of the {@link
     * Clock}, the execution ends as not sent. A transport in which nothing waits before it is sent can ignore the
     * limit.
     */
    default Transmission send(Exchange exchange, int attempt, long server, double timeout, double latestStart) {
        return send(exchange, attempt, server, timeout);
    }

    /** Probes a server; leads to exactly one call of {@link ModuleHost#probed}. */
    void probe(long server);

    void closeIdle(long server);
}
