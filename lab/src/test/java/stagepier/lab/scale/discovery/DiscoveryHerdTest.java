package stagepier.lab.scale.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import stagepier.lab.standin.DiscoveryBehaviour;

/** How what discovery sends, and the herd after an outage, grow with the fleet and the list; in virtual time. */
@Timeout(45)
class DiscoveryHerdTest {
    /** What the service that is asked does in a second, and for whom it is too late: as the command has it by default. */
    private static final double PER_CALL = 0.0005;

    private static final double PER_LINE = 0.00002;
    private static final double LONGEST_WAIT = 1;
    private static final int MOST_WAITING = 4000;
    private static final double SETTLED = 5;
    private static final double OUTAGE = 5;

    private static VirtualDiscovery settled(int watches, int servers, DiscoveryBehaviour manners) {
        VirtualDiscovery world =
                new VirtualDiscovery(new DiscoverySetting(watches, servers, 1, manners, WatchTimes.OF_AGENT));
        world.pass(SETTLED);
        return world;
    }

    private static long bytesOfAChange(int watches, int servers) {
        VirtualDiscovery world = settled(watches, servers, DiscoveryBehaviour.PUSHED);
        long before = world.newsBytes();
        world.drainOne();
        assertEquals(0, world.untilCurrent(1));
        return world.newsBytes() - before;
    }

    private static long bytesOfWholeLists(int watches, int servers) {
        VirtualDiscovery world = settled(watches, servers, DiscoveryBehaviour.PUSHED);
        world.service().down(true);
        world.pass(OUTAGE);
        world.drainOne();
        world.service().list().forgetHistory();
        long before = world.newsBytes();
        world.service().down(false);
        assertEquals(0, world.untilCurrent(1));
        return world.newsBytes() - before;
    }

    @ParameterizedTest
    @ValueSource(ints = {50, 100, 200, 400, 1900})
    void aChangeCostsAsMuchForEachWatchWhateverTheFleetAndTheList(int watches) {
        long one = bytesOfAChange(1, 120);
        // Lists of three digits: the version is as long in each.
        for (int servers : new int[] {120, 240, 480}) {
            assertEquals(one * watches, bytesOfAChange(watches, servers), servers + " servers");
        }
    }

    @Test
    void aWholeListCostsAsMuchAsItHasServersForEachWatch() {
        long one = bytesOfWholeLists(1, 120);
        assertEquals(50 * one, bytesOfWholeLists(50, 120));
        assertEquals(400 * one, bytesOfWholeLists(400, 120));
        double forAServer = (bytesOfWholeLists(1, 480) - one) / 360.0;
        assertEquals(one + 120 * forAServer, bytesOfWholeLists(1, 240), 0.01 * one);
        assertTrue(forAServer > 100, forAServer + " bytes for each server");
    }

    /** A call that is open is answered at the return; whoever had just given up makes one more. */
    @ParameterizedTest
    @ValueSource(ints = {50, 400, 1900})
    void afterAPushedOutageEachRouterIsCurrentByOneCallMore(int watches) {
        VirtualDiscovery world = settled(watches, 240, DiscoveryBehaviour.PUSHED);
        world.service().down(true);
        world.pass(OUTAGE);
        world.drainOne();
        world.service().down(false);
        world.countCalls();
        assertEquals(0, world.untilCurrent(1), "routers without the list");
        assertTrue(world.mostCalls() <= 1, world.mostCalls() + " calls of one router");
    }

    private static VirtualDiscovery returned(int watches, int nowWithinMs, boolean whole, boolean noticesEnded) {
        return returned(watches, WatchTimes.OF_AGENT.withNowWithin(nowWithinMs), whole, noticesEnded);
    }

    private static VirtualDiscovery returned(int watches, WatchTimes times, boolean whole, boolean noticesEnded) {
        DiscoveryBehaviour manners =
                new DiscoveryBehaviour(true, PER_CALL, PER_LINE, LONGEST_WAIT, MOST_WAITING, noticesEnded);
        VirtualDiscovery world = new VirtualDiscovery(new DiscoverySetting(watches, 240, 1, manners, times));
        world.pass(SETTLED);
        world.service().down(true);
        world.pass(OUTAGE);
        world.drainOne();
        if (whole) {
            world.service().list().forgetHistory();
        }
        world.service().down(false);
        world.countCalls();
        return world;
    }

    /** All call within a quarter of a second; bounded where the service gets through them in about a watcher's patience. */
    @ParameterizedTest
    @CsvSource({"50,300", "100,300", "200,300", "400,300", "600,300", "1900,1500"})
    void afterAnAskedOutageEachRouterIsCurrentByTwoCallsMore(int watches, int nowWithinMs) {
        VirtualDiscovery world = returned(watches, nowWithinMs, false, false);
        assertEquals(0, world.untilCurrent(5), "routers without the list");
        assertTrue(world.mostCalls() <= 2, world.mostCalls() + " calls of one router");
        assertEquals(0, world.service().refused(), "calls refused");
    }

    /** Work of 5.3 ms a call: with patience for it, whoever is refused after a second asks again, and all get through. */
    @Test
    void wholeListsForAllGetThroughWithPatience() {
        VirtualDiscovery world = returned(1900, 1500, true, false);
        assertEquals(0, world.untilCurrent(20), "routers without the list");
        assertTrue(world.mostCalls() <= 15, world.mostCalls() + " calls of one router");
    }

    /**
     * Why a call that asks what there is now must not be given up after 300 ms where lists are asked for: past a size the
     * service works on calls that were given up, and the herd does not end by itself. Where it sends whole lists it helps
     * little that it notices who has gone.
     */
    @ParameterizedTest
    @CsvSource({"1900,false,false", "200,true,false", "800,true,true"})
    void withAPatienceOf300MsTheHerdDoesNotEnd(int watches, boolean whole, boolean noticesEnded) {
        VirtualDiscovery world = returned(watches, 300, whole, noticesEnded);
        int without = world.untilCurrent(60);
        assertTrue(without > watches / 4, without + " without the list after 60 s");
        assertTrue(world.mostCalls() > 60, world.mostCalls() + " calls of one router");
    }

    /** As the router watches a service that all ask: nobody gives up a call that is in the queue of the service. */
    @ParameterizedTest
    @CsvSource({"200,false", "800,false", "1900,false", "200,true", "800,true", "1900,true"})
    void withTheWaitsForASharedServiceTheHerdEnds(int watches, boolean whole) {
        VirtualDiscovery world = returned(watches, WatchTimes.OF_SHARED_SERVICE, whole, false);
        assertEquals(0, world.untilCurrent(20), "routers without the list");
        assertTrue(world.mostCalls() <= 10, world.mostCalls() + " calls of one router");
    }
}
