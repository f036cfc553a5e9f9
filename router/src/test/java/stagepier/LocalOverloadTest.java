package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import stagepier.Api.MemberState;

/** Routing when some servers have capacity left and others have none. */
class LocalOverloadTest {
    /** Sends a request; returns its server, or -1 where it was refused. */
    private static long send(Fixture f, long key) {
        int before = f.host.sends.size();
        f.request(0, key);
        return f.host.sends.size() == before ? -1 : f.host.last().server();
    }

    /** Cold servers with capacity left must be used before refusing; their key share applies if others have room. */
    @Test
    void requestsThatNoWarmServerAcceptsGoToAColdOneWithinItsBudget() {
        Fixture f = Fixture.through(2);
        for (int i = 0; i < 2000; i++) {
            f.serve(0, i + 1);
            f.now -= 0.04;
        }
        List<Long> outsideItsShare = new ArrayList<>();
        for (long key = 5000; key < 5300; key++) {
            if (f.serve(0, key) == 2) {
                outsideItsShare.add(key);
            }
        }
        f.members(false, List.of(Fixture.member(2, MemberState.READY, f.now)));
        for (int pass = 0; pass < 2; pass++) {
            outsideItsShare.removeIf(key -> f.serve(0, key) == 2);
        }
        List<Long> servers = new ArrayList<>();
        outsideItsShare.forEach(key -> servers.add(send(f, key)));
        int full = 0;
        for (int sentToWarm = 0; sentToWarm < 12; full++) {
            sentToWarm += servers.get(full) == 1 ? 1 : 0;
        }
        assertEquals(2, servers.get(full), "the cold server follows when the warm one is full: " + servers);
        assertEquals(-1L, servers.get(servers.size() - 1), "refused once the cold server is busy: " + servers);
    }
}
