package stagepier.console;

/** Thrown for a line that is not a command; the message is shown to the operator. */
public final class InvalidCommandException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidCommandException(String message) {
        super(message);
    }
}
