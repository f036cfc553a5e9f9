package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import stagepier.Api.Outcome;

/** Frequently requested keys: a copy at another server relieves the owner, but costs a fetch at the origin. */
class HotKeyTest {
    private static final int SERVERS = 60;

    /**
     * A router among many sees few requests, of which some keys are repeated three or four times by chance. Such keys
     * must not be copied to many servers.
     */
    @Test
    void keyRequestedAFewTimesByChanceStaysAtItsOwner() {
        Fixture f = Fixture.through(SERVERS);
        List<Long> notAtOwner = new ArrayList<>();
        for (long key = 1; key <= 20; key++) {
            long owner = f.serve(0, 7000 + key);
            for (int repeat = 0; repeat < 3; repeat++) {
                f.serve(0, 100 * key + repeat);
                if (f.serve(0, 7000 + key) != owner) {
                    notAtOwner.add(key);
                }
            }
        }
        assertEquals(List.of(), notAtOwner);
    }

    /** Each copy costs a fetch, so none is made while the origin cannot even serve the fetches of the owners. */
    @Test
    void hotKeyIsSpreadOnlyWhileFetchesAreAdmitted() {
        Fixture f = Fixture.through(SERVERS);
        f.warm(100);
        for (int i = 0; i < 100; i++) {
            f.serve(0, 7);
        }
        assertTrue(serversOf(f, 7) > 3, "the key is spread as a hot key");
        for (long key = 200; key < 220; key++) {
            long id = f.request(0, key);
            if (f.host.last().request() == id) {
                f.now += 0.01;
                f.outcome(id, 0, f.host.last().server(), Outcome.ERROR, 0.01);
                f.policy.onClientGone(f.now, id);
            }
        }
        assertEquals(1, serversOf(f, 7), "fetches fail at all servers, so the key stays at one");
    }

    private static int serversOf(Fixture f, long key) {
        Set<Long> servers = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            f.now -= 0.05;
            long server = f.serve(0, key);
            if (server > 0) {
                servers.add(server);
            }
        }
        return servers.size();
    }
}
