package stagepier.memcache;

/** Thrown for input after which the start of the next message is unknown, so that reading cannot continue. */
public final class MalformedException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedException(String message) {
        super(message);
    }
}
