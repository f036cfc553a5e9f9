package stagepier.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LinkShareTest {
    /** 0.12 of 1,024 descriptors over 12 servers: the bulk day, on which answers waited behind slow ones. */
    @Test
    void manyDescriptorsForFewServersGiveMoreLinks() {
        assertEquals(10, LinkShare.usual(122, 12));
        assertEquals(12, LinkShare.most(122, 12));
    }

    /** Guards the whole fleet and the two processes of an upgrade, whose servers' tables are scarce: as before. */
    @Test
    void scarceDescriptorsKeepFourLinks() {
        assertEquals(4, LinkShare.usual(80, 200));
        assertEquals(4, LinkShare.usual(46, 12));
        assertEquals(6, LinkShare.most(46, 12));
    }

    @Test
    void noMoreThanTwelveHoweverFewServers() {
        assertEquals(12, LinkShare.usual(122, 1));
        assertEquals(12, LinkShare.usual(122, 0));
    }
}
