package stagepier.lab.scale;

/** A plan that this machine, or the bound that is set to a scale run, has no room for. */
public final class PlanTooLargeException extends Exception {
    private static final long serialVersionUID = 1L;

    PlanTooLargeException(String message) {
        super(message);
    }
}
