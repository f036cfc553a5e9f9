package stagepier.adapter;

/** Thrown when the input violates the wire format; the message names the violation and its place. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
