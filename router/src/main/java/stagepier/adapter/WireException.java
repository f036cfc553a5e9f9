package stagepier.adapter;

/** Input that is not the wire: its message names what is wrong and where. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
