package stagepier.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LinkShareTest {
    /**
     * 0.12 of 1,024 descriptors over 12 servers, with large values: with fewer links, answers waited behind slow ones.
     */
    @Test
    void manyDescriptorsForFewServersAllowMoreLinks() {
        assertEquals(10, LinkShare.usual(122, 12));
        assertEquals(12, LinkShare.max(122, 12));
    }

    /**
     * With the whole fleet, and during an upgrade with two processes, the connection tables of the servers are scarce,
     * so the number of links stays at the minimum.
     */
    @Test
    void scarceDescriptorsAllowFourLinks() {
        assertEquals(4, LinkShare.usual(80, 200));
        assertEquals(4, LinkShare.usual(46, 12));
        assertEquals(6, LinkShare.max(46, 12));
    }

    @Test
    void atMostTwelveLinksHoweverFewServers() {
        assertEquals(12, LinkShare.usual(122, 1));
        assertEquals(12, LinkShare.usual(122, 0));
    }
}
