package stagepier.shadow;

/** The state of this router as the shadow needs it. Called on the event loop. */
public interface RouterState {
    /** Returns whether the event loop is late. */
    boolean isPressed();

    /** Returns whether the router is shutting down or operators have paused it. */
    boolean isDraining();
}
