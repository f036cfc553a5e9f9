package stagepier.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import stagepier.overload.ConnectionSlots.Availability;
import stagepier.overload.ConnectionSlots.Behaviour;

class ConnectionSlotsTest {
    private static final int SLOTS = 200;

    @Property(seed = "21", tries = 500)
    void holdLimitsShrinkAsSlotsBecomeScarceExceptForLinksThatAreOwedAnAnswer(
            @ForAll @IntRange(max = 400) int links, @ForAll @IntRange(max = 2000) int held) {
        ConnectionSlots slots = new ConnectionSlots(SLOTS, 1000);
        Availability less = slots.level(5, links, held);
        Availability more = slots.level(5, links + 1, held + 1);
        assertTrue(more.ordinal() >= less.ordinal(), less + " then " + more);
        for (Behaviour behaviour : Behaviour.values()) {
            assertTrue(
                    ConnectionSlots.holdLimit(behaviour, more) <= ConnectionSlots.holdLimit(behaviour, less),
                    behaviour.name());
        }
        assertEquals(Double.POSITIVE_INFINITY, ConnectionSlots.holdLimit(Behaviour.OWED, Availability.FULL));
        for (Availability level : Availability.values()) {
            assertTrue(
                    ConnectionSlots.holdLimit(Behaviour.ONCE, level) >= 2,
                    "idle links may be closed after 2 s, not sooner");
            assertTrue(ConnectionSlots.holdLimit(Behaviour.REGULAR, level)
                    >= ConnectionSlots.holdLimit(Behaviour.ONCE, level));
            // An error or a close is due within 3 s, whenever the check runs.
            assertTrue(ConnectionSlots.holdLimit(Behaviour.PART, level) + ConnectionSlots.checkInterval(level) < 2.5);
            assertTrue(ConnectionSlots.holdLimit(Behaviour.SLOW, level) >= 2.2, "a client may take 2 s for a command");
            assertTrue(ConnectionSlots.holdLimit(Behaviour.SLOW, level) + ConnectionSlots.checkInterval(level) < 3);
            assertTrue(ConnectionSlots.holdLimit(Behaviour.SILENT, level) + ConnectionSlots.checkInterval(level) < 2.5);
        }
    }

    @Property(seed = "22", tries = 1)
    void levelStaysScarceForAWhileAfterFull() {
        ConnectionSlots slots = new ConnectionSlots(SLOTS, 1000);
        assertEquals(Availability.FULL, slots.level(5, SLOTS, 0));
        assertFalse(slots.hasSlot(SLOTS));
        assertEquals(Availability.SCARCE, slots.level(6.9, 3, 0));
        assertEquals(Availability.PLENTY, slots.level(7.1, 3, 0));
        assertEquals(Availability.TIGHT, slots.level(8, 3, 1000));
    }

    /** One link of the simulated clients: its behaviour, and since when. */
    private record Held(Behaviour behaviour, double since) {}

    /**
     * Links that only hold slots must not crowd out clients with requests. Clients of any mix connect at up to twice
     * the number of slots per second, and slots are checked at the stated interval; the test measures how long a client
     * with a request waits.
     */
    @Property(seed = "23", tries = 20)
    void clientWithARequestSoonGetsASlotWhateverOthersDo(
            @ForAll @IntRange(max = 100) int percentProbes,
            @ForAll @IntRange(min = 50, max = 400) int perSecond,
            @ForAll long seed) {
        Random random = new Random(seed);
        ConnectionSlots slots = new ConnectionSlots(SLOTS, 1000);
        List<Held> held = new ArrayList<>();
        double backlog = 0;
        double worst = 0;
        double nextCheck = 0;
        Availability level = Availability.PLENTY;
        for (double now = 0; now < 20; now += 0.01) {
            backlog += perSecond * 0.01;
            while (backlog >= 1 && slots.hasSlot(held.size())) {
                backlog--;
                int kind = random.nextInt(100);
                held.add(new Held(
                        kind < percentProbes ? Behaviour.PROBE : kind % 2 == 0 ? Behaviour.SILENT : Behaviour.PART,
                        now));
            }
            worst = Math.max(worst, backlog / perSecond);
            if (now >= nextCheck || !slots.hasSlot(held.size())) {
                level = slots.level(now, held.size(), 0);
                Availability at = level;
                double when = now;
                held.removeIf(h -> when - h.since() > ConnectionSlots.holdLimit(h.behaviour(), at));
                nextCheck = now + ConnectionSlots.checkInterval(level);
            }
        }
        assertTrue(worst < 0.55, "waited " + worst + " s");
    }
}
