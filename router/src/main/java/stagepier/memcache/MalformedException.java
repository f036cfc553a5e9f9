package stagepier.memcache;

/** Input after which a connection cannot be read on: where its next message begins is unknown. */
public final class MalformedException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedException(String message) {
        super(message);
    }
}
