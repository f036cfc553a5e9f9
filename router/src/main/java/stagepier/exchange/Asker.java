package stagepier.exchange;

/** The client's side of an exchange, as the exchange sees it. */
public interface Asker {
    /** The one final answer. Not called once {@link ModuleHost#clientGone} was. */
    void answered(Exchange exchange, Reply reply);
}
