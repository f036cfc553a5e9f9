package stagepier.app;

import java.util.Arrays;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import stagepier.fleet.History;

/** A history as key-values of the logger {@code history}, which is off unless another logging library is put beside the program. */
final class HistoryLog implements History {
    private static final Logger LOG = LoggerFactory.getLogger("history");

    /** Of this process, by a clock that all processes of a machine share. */
    static final long STARTED = System.nanoTime();

    private HistoryLog() {}

    static History get() {
        return LOG.isInfoEnabled() ? new HistoryLog() : NONE;
    }

    @Override
    public void write(String event, Object... namesAndValues) {
        LoggingEventBuilder line = LOG.atInfo().addKeyValue("nano", System.nanoTime());
        if (!Arrays.asList(namesAndValues).contains("incarnation")) {
            line = line.addKeyValue("incarnation", STARTED);
        }
        for (int i = 0; i < namesAndValues.length; i += 2) {
            line = line.addKeyValue((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        line.log(event);
    }
}
