package stagepier.fleet;

import java.util.List;

/** A service of the fleet that runs outside the event loop: the view, the calendar or the shadow map. */
public interface FleetService {
    /** Registers the handlers of this service and starts its tasks. Called before {@link FleetRpc#start()}. */
    void start();

    /** Reads the files again after a SIGHUP. An invalid file is logged, and the content in force stays in force. */
    void reload();

    /** Returns the lines for {@code STATUS}. May be called from any thread. */
    List<String> status();
}
