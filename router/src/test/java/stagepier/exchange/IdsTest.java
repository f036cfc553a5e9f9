package stagepier.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Checks the mapping of names to numbers. A different mapping gives a hash ring that differs between routers or from
 * the simulator.
 */
class IdsTest {
    @Test
    void hexNamesMapToTheirNumber() {
        assertEquals(0x7f3a9c21e0b4d655L, Ids.ofKey("7f3a9c21e0b4d655"));
        assertEquals(0xf03b7c55d20a6491L, Ids.ofKey("f03b7c55d20a6491"));
        assertEquals(0x5be2a07cL, Ids.ofServer("s-5be2a07c"));
    }

    @Test
    void otherNamesMapToDistinctNumbersOutsideTheHexServerRange() {
        assertNotEquals(0, Ids.ofKey("0000000000000000"), "0 means that there is no key");
        assertNotEquals(Ids.ofKey("team:1"), Ids.ofKey("team:2"));
        assertEquals(Ids.ofServer("cache-a"), Ids.ofServer("cache-a"));
        assertTrue(Ids.ofServer("cache-a") >>> 32 != 0);
    }
}
