package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The descriptors for clients, cache servers and the router itself never exceed the configured limit together. */
class DescriptorsTest {
    /** Links that are reserved for closed links whose descriptors linger. */
    private static final int LINGERING = 8;

    @ParameterizedTest
    @ValueSource(ints = {128, 256, 257, 384, 512, 667, 777, 1024, 4096})
    void sumStaysWithinLimit(int sockets) {
        for (int servers = 0; servers <= 250; servers++) {
            int links = Router.serverLinks(sockets, servers);
            int clientLinks = Router.clientLinks(sockets, servers);
            assertTrue(clientLinks + links + Router.OWN_DESCRIPTORS <= sockets, servers + " servers");
            assertTrue(links <= sockets / 3, "more than a third of the descriptors");
        }
    }

    @ParameterizedTest
    @CsvSource({"256,10", "256,40", "384,90", "667,160", "667,200", "1024,200"})
    void eachServerHasLink(int sockets, int servers) {
        assertTrue(Router.serverLinks(sockets, servers) - LINGERING >= servers);
    }

    /** With few servers only the links reserved for closed links reduce the number of client links. */
    @ParameterizedTest
    @CsvSource({"256,10,170", "1024,10,846", "1024,80,846"})
    void fewServersLeaveRemainingDescriptorsToClients(int sockets, int servers, int clientLinks) {
        assertEquals(clientLinks, Router.clientLinks(sockets, servers));
    }
}
