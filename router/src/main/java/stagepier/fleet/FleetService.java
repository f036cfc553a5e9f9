package stagepier.fleet;

import java.util.List;

/** A part of the fleet's work beside the event loop: the view, the calendar, the shadow. */
public interface FleetService {
    /** Registers what it answers and starts its tasks; before {@link FleetRpc#start()}. */
    void start();

    /** Staff have had the files read again (SIGHUP). What makes no sense is logged, and what was in force stays. */
    void reload();

    /** One line each for {@code STATUS}; from any thread. */
    List<String> status();
}
