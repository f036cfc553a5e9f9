package stagepier.exchange;

/** The client's side of an exchange, as the exchange sees it. */
public interface ReplyListener {
    /** The one final answer. Not called once {@link ModuleHost#clientGone} was. */
    void answered(Exchange exchange, Reply reply);

    /**
     * Whether the client is there by all that has come by this moment. Where it is not, {@link ModuleHost#clientGone} has been
     * called when this returns.
     */
    default boolean isConnected() {
        return true;
    }
}
