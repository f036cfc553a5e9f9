package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import stagepier.Api.MemberState;

/** Servers that have room beside others that have none. */
class LocalCrowdTest {
    /** Sends a request; returns its server, or -1 where it was refused. */
    private static long send(Fixture f, long key) {
        int before = f.host.sends.size();
        f.request(0, key);
        return f.host.sends.size() == before ? -1 : f.host.last().server();
    }

    /** Guards against refusing what cold servers could bear: their share of keys is for when others have room. */
    @Test
    void whatNoWarmServerTakesGoesToAColdOneWithinItsBudget() {
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
        for (int passes = 0; passes < 2; passes++) {
            outsideItsShare.removeIf(key -> f.serve(0, key) == 2);
        }
        List<Long> servers = new ArrayList<>();
        outsideItsShare.forEach(key -> servers.add(send(f, key)));
        int full = 0;
        for (int ofTheWarm = 0; ofTheWarm < 12; full++) {
            ofTheWarm += servers.get(full) == 1 ? 1 : 0;
        }
        assertEquals(2, servers.get(full), "the cold one next: " + servers);
        assertEquals(-1L, servers.get(servers.size() - 1), "and refused once it is busy: " + servers);
    }
}
