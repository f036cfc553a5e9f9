package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stagepier.settings.SettingsParser;

/** A warm-up whose made-up requests were all turned away would warm nothing. */
class WarmUpTest {
    @Test
    void mostOfItsRequestsTakeTheWholeWay() {
        var settings = SettingsParser.parse("{\"Classes\":[{\"Deadline\":2,\"Repeat\":\"idempotent\"}]}").settings();
        int served = WarmUp.run(settings);
        assertTrue(served > 150, served + " served");
    }
}
