package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import stagepier.Api.Outcome;

/** Keys that are asked for often: a copy spares their owner, and costs the origin a fetch. */
class HotKeyTest {
    private static final int SERVERS = 60;

    /**
     * A router among many sees few requests, and some keys come three or four times by chance. Guards against copies of
     * such keys all over the fleet.
     */
    @Test
    void aKeyThatComesAFewTimesByChanceStaysWithItsOwner() {
        Fixture f = Fixture.through(SERVERS);
        List<Long> elsewhere = new ArrayList<>();
        for (long key = 1; key <= 20; key++) {
            long owner = f.serve(0, 7000 + key);
            for (int more = 0; more < 3; more++) {
                f.serve(0, 100 * key + more);
                if (f.serve(0, 7000 + key) != owner) {
                    elsewhere.add(key);
                }
            }
        }
        assertEquals(List.of(), elsewhere);
    }

    /** Guards against copies that each cost a fetch while the origin has no room even for those of the owners. */
    @Test
    void aHotKeyHasCopiesOnlyWhileFetchesAreAdmitted() {
        Fixture f = Fixture.through(SERVERS);
        f.warm(100);
        for (int i = 0; i < 100; i++) {
            f.serve(0, 7);
        }
        assertTrue(serversOf(f, 7) > 3, "it is hot");
        for (long key = 200; key < 220; key++) {
            long id = f.request(0, key);
            if (f.host.last().request() == id) {
                f.now += 0.01;
                f.outcome(id, 0, f.host.last().server(), Outcome.ERROR, 0.01);
                f.policy.onClientGone(f.now, id);
            }
        }
        assertEquals(1, serversOf(f, 7), "fetches fail everywhere, and some are shed");
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
