package stagepier.app;

import java.util.Arrays;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import stagepier.fleet.History;

/**
 * Writes history events as key-value pairs to the logger {@code history}. That logger is disabled unless another
 * logging backend is added to the class path.
 */
final class HistoryLog implements History {
    private static final Logger LOG = LoggerFactory.getLogger("history");

    /** Start time of this process in nanoseconds, by a clock that all processes of a machine share. */
    static final long INCARNATION = System.nanoTime();

    private HistoryLog() {}

    static History get() {
        return LOG.isInfoEnabled() ? new HistoryLog() : NONE;
    }

    @Override
    public void write(String event, Object... namesAndValues) {
        LoggingEventBuilder entry = LOG.atInfo().addKeyValue("nano", System.nanoTime());
        if (!Arrays.asList(namesAndValues).contains("incarnation")) {
            entry = entry.addKeyValue("incarnation", INCARNATION);
        }
        for (int i = 0; i < namesAndValues.length; i += 2) {
            entry = entry.addKeyValue((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        entry.log(event);
    }
}
