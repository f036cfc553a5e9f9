package stagepier.logging;

import org.slf4j.Logger;

/** Logs faults of this program that one step ends with and the process survives. */
public final class FaultLog {
    private FaultLog() {}

    /**
     * Logs a fault. Never throws: the caller goes on after it, even if there is no memory left for the line.
     *
     * @param message what was not done
     */
    public static void error(Logger log, String message, Throwable fault) {
        try {
            log.error(message, fault);
        } catch (OutOfMemoryError e) {
            // The line is lost; a later one may find memory again.
        }
    }
}
