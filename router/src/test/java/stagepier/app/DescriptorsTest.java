package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients, cache servers and the program's own never pass what the configuration allows together. */
class DescriptorsTest {
    /** Of the links, those that are kept for closed ones whose descriptors linger. */
    private static final int LINGERING = 8;

    @ParameterizedTest
    @ValueSource(ints = {128, 256, 257, 384, 512, 667, 777, 1024, 4096})
    void theSumHolds(int sockets) {
        for (int servers = 0; servers <= 250; servers++) {
            int links = Router.serverLinks(sockets, servers);
            int places = Router.places(sockets, servers);
            assertTrue(places + links + Router.OWN_DESCRIPTORS <= sockets, servers + " servers");
            assertTrue(links <= sockets / 3, "clients have the most");
        }
    }

    @ParameterizedTest
    @CsvSource({"256,10", "256,40", "384,90", "667,160", "667,200", "1024,200"})
    void eachServerHasItsLink(int sockets, int servers) {
        assertTrue(Router.serverLinks(sockets, servers) - LINGERING >= servers);
    }

    /** Few servers take no place from clients but those for closed links. */
    @ParameterizedTest
    @CsvSource({"256,10,170", "1024,10,846", "1024,80,846"})
    void fewServersLeaveTheRestToClients(int sockets, int servers, int places) {
        assertEquals(places, Router.places(sockets, servers));
    }
}
