package stagepier.shadow;

/** How this router is, for the shadow. On the event loop. */
public interface RouterState {
    /** The loop is late. */
    boolean isPressed();

    /** It has been told to end, or staff paused it. */
    boolean isDraining();
}
