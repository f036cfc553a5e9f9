package stagepier.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import stagepier.overload.Pressure.State;

class PressureTest {
    private final Pressure pressure = new Pressure();

    @Property(seed = "41", tries = 1)
    void stateRisesImmediatelyAndFallsStepByStepAfterCalm() {
        assertFalse(pressure.update(5, 0.009));
        assertTrue(pressure.update(5.02, 0.2));
        assertTrue(pressure.update(5.04, 0.2));
        assertEquals(State.OVERLOADED, pressure.state());
        assertFalse(pressure.update(6, 0.001));
        assertFalse(pressure.update(6.9, 0.001));
        assertTrue(pressure.update(7.0, 0.001));
        assertEquals(State.PRESSED, pressure.state());
        assertFalse(pressure.update(7.1, 0.001));
        assertTrue(pressure.update(8.2, 0.001));
        assertEquals(State.NORMAL, pressure.state());
        assertFalse(pressure.update(20, 0.001));
        assertEquals(16, pressure.acceptBatch());
    }

    /** From any state it must return to normal within 3 s of calm, and it must not oscillate. */
    @Property(seed = "42", tries = 300)
    void stateReturnsToNormalFromAnyStateWithoutOscillating(@ForAll long seed) {
        Random random = new Random(seed);
        Pressure any = new Pressure();
        double now = 100;
        int changes = 0;
        double from = now;
        while (now - from < 10) {
            now += LoopDelay.HEARTBEAT_INTERVAL;
            changes += any.update(now, random.nextDouble() * 0.12) ? 1 : 0;
        }
        assertTrue(changes < 14, changes + " changes in 10 s");
        from = now;
        while (now - from < 3) {
            now += LoopDelay.HEARTBEAT_INTERVAL;
            any.update(now, 0);
        }
        assertEquals(State.NORMAL, any.state());
    }
}
