package stagepier.console;

/** A line that is no call; the message says why in plain words. */
public final class InvalidCommandException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidCommandException(String message) {
        super(message);
    }
}
