package stagepier.exchange;

/** Callback of an exchange to its client connection. */
public interface ReplyListener {
    /** Called with the one final answer, but not after {@link ModuleHost#clientGone} was called. */
    void answered(Exchange exchange, Reply reply);

    /**
     * Returns whether the client is connected, judged by all input that has arrived by now. If it is not,
     * {@link ModuleHost#clientGone} has been called when this method returns.
     */
    default boolean isConnected() {
        return true;
    }
}
