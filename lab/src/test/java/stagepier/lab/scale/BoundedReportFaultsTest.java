package stagepier.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import stagepier.lab.fleet.DeploymentCommand;
import stagepier.lab.model.Randoms;
import stagepier.lab.scenario.Scenario;
import stagepier.lab.scenario.ScenarioReader;
import stagepier.lab.standin.LabClock;

/**
 * Six router processes among 1,894 hollow routers, with faults between them: what they hear stays within its bound, what is
 * old is forgotten, and who comes back hears all again.
 */
@Timeout(180)
class BoundedReportFaultsTest {
    private static final int REAL = 6;
    private static final int ROUTERS = 1900;
    private static final int ZONES = 3;
    private static final int REGIONS = 16;
    private static final int SERVERS = 24;
    private static final long SEED = 7;
    private static final double WAIT = 20;
    /** Seconds within which the load of all this has to be over. */
    private static final int LOAD_LASTS = 150;
    /** A router hears some 65 reports a second, and each counts for four: so many at the least. */
    private static final long HEARD_BY_ALL = 150;
    /** Over so many messages a rate is measured. */
    private static final int MEASURED_MESSAGES = 250;
    /** Of 7,000 that a router may spend, over a few seconds: a mean of 6,000 and what chance adds to so few messages. */
    private static final double BYTES_PER_SECOND_MOST = 7_500;

    private static final int MEASURED_REQUESTS = 600;
    private static final double SERVED_LEAST = 0.9;
    private static final String COUNTED = "peer_reports_counted";
    private static final String TEXT = """
            name = "report-faults"
            [fleet]
            zones = %d
            sockets = 512
            peers = true
            [node]
            memory = 2000
            [load]
            rate = 300
            seconds = %d
            keys = 500
            zipf = 0.3
            router_skew = 0
            [[class]]
            name = "read"
            aim_ms = 500
            deadline_ms = 1500
            work_ms = 20
            """;

    @TempDir
    private Path folder;

    private final LabClock clock = new LabClock();
    private ReportFanOut fanOut;
    private RealRouters real;
    private int[] servers;

    @BeforeEach
    void startFleet() throws Exception {
        Scenario scenario = ScenarioReader.parse("report-faults", TEXT.formatted(ZONES, LOAD_LASTS))
                .withFleet(SERVERS, REAL);
        fanOut = new ReportFanOut(clock, REAL, ROUTERS, ReportListener.NONE);
        real = new RealRouters(clock, scenario, SEED);
        real.start(fanOut.addresses(), DeploymentCommand.read(Path.of("..")), folder);
        servers = real.servers();
        fanOut.start(new ReportSchedule(hollowRouters()));
        real.load();
        awaitAllHeard("at the start");
    }

    @AfterEach
    void endFleet() throws IOException {
        real.close();
        fanOut.close();
    }

    private List<SimulatedRouter> hollowRouters() {
        Randoms randoms = new Randoms(SEED);
        List<SimulatedRouter> hollow = new ArrayList<>();
        for (int number = REAL; number < ROUTERS; number++) {
            hollow.add(new SimulatedRouter(
                    number,
                    number % ZONES,
                    LoadReportModel.bounded(StatedLoad.SHORTEST_DEADLINE, ROUTERS),
                    StatedLoad.meanInFlight(),
                    servers,
                    randoms.of("hollow-" + number),
                    clock.now()));
        }
        return hollow;
    }

    private long counter(int process, String name) {
        return real.processes().get(process).counters().getOrDefault(name, -1L);
    }

    /** Waits until the routers whose reports count at a process are as many as that wants. */
    private void awaitCounted(String what, int process, IntPredicate wanted) throws InterruptedException {
        double until = clock.now() + WAIT;
        long counted = counter(process, COUNTED);
        while (!wanted.test((int) counted)) {
            assertTrue(clock.now() < until, what + ": process " + process + " counts " + counted + " routers");
            Thread.sleep(20);
            counted = counter(process, COUNTED);
        }
    }

    private void awaitAllHeard(String what) throws InterruptedException {
        for (int process = 0; process < REAL; process++) {
            awaitCounted(what, process, counted -> counted >= HEARD_BY_ALL);
        }
    }

    /** What a process hears from now on keeps to the rate. */
    private void assertWithinRate(String what, int process) throws InterruptedException {
        ReportTraffic before = fanOut.traffic(process);
        double from = clock.now();
        ReportTraffic heard = before.since(before);
        while (heard.messagesIn() < MEASURED_MESSAGES) {
            assertTrue(clock.now() < from + WAIT, what + ": process " + process + " was sent " + heard);
            Thread.sleep(5);
            heard = fanOut.traffic(process).since(before);
        }
        double rate = heard.bytesIn() / (clock.now() - from);
        assertTrue(rate < BYTES_PER_SECOND_MOST, what + ": process " + process + " hears " + rate + " bytes a second");
    }

    /** Of the requests that end from now on nearly all are served. */
    private void assertServed(String what) throws InterruptedException {
        long endedBefore = real.ended();
        long answeredBefore = real.answered();
        double until = clock.now() + WAIT;
        while (real.ended() - endedBefore < MEASURED_REQUESTS) {
            assertTrue(clock.now() < until, what + ": only " + (real.ended() - endedBefore) + " requests ended");
            Thread.sleep(20);
        }
        double served = (double) (real.answered() - answeredBefore) / (real.ended() - endedBefore);
        assertTrue(served > SERVED_LEAST, what + ": only " + served + " of the requests were served");
    }

    private static int zone(int router) {
        return router % ZONES;
    }

    @Test
    void aZoneThatIsCutOffIsForgottenAndReturnsWithoutAWave() throws Exception {
        int lost = 2;
        long forgotten = counter(0, "peer_reports_forgotten");
        fanOut.filter((sender, process) -> (zone(sender) == lost) == (zone(process) == lost));
        for (int process = 0; process < REAL; process++) {
            boolean inside = zone(process) == lost;
            // A third and two thirds of some 260.
            awaitCounted("cut", process, counted -> inside ? counted < 120 && counted > 40 : counted < 205);
        }
        assertTrue(counter(0, "peer_reports_forgotten") > forgotten);
        assertServed("cut");
        fanOut.filter(ReportFilter.NONE_LOST);
        assertWithinRate("after the return", 0);
        assertWithinRate("after the return", lost);
        awaitAllHeard("after the return");
        assertServed("after the return");
    }

    @Test
    void aRegionThatIsCutOffHearsItselfAloneAndThenAllAgain() throws Exception {
        fanOut.filter((sender, process) -> (sender % REGIONS == 0) == (process % REGIONS == 0));
        awaitCounted("cut", 0, counted -> counted < 45);
        awaitCounted("cut", 1, counted -> counted >= HEARD_BY_ALL);
        assertServed("cut");
        fanOut.filter(ReportFilter.NONE_LOST);
        assertWithinRate("after the return", 0);
        awaitAllHeard("after the return");
    }

    @Test
    void processesThatStartAnewOrStoodStillHearAllAgainAndSendNoWave() throws Exception {
        real.processes().get(REAL - 1).stall(true);
        for (int process = 0; process < REAL / 2; process++) {
            real.restart(process);
            double readyAt = clock.now();
            awaitCounted("started anew", process, counted -> counted >= HEARD_BY_ALL);
            // The mean gap between two reports of one router is over ten seconds here.
            long most = 2 + (long) ((clock.now() - readyAt) / 5);
            long sent = counter(process, "peer_messages_sent");
            assertTrue(sent >= 0 && sent <= most, "process " + process + " sent " + sent + ", at most " + most);
        }
        real.processes().get(REAL - 1).stall(false);
        awaitAllHeard("after all");
        assertWithinRate("after all", REAL - 1);
        assertServed("after all");
        for (int process = 0; process < REAL; process++) {
            assertEquals(0, counter(process, "peer_messages_malformed"), "process " + process);
            assertEquals(0, counter(process, "peer_messages_strange"), "process " + process);
        }
    }

    /** A report in the form of version 2, with what no honest router would tell. */
    private byte[] forged(int zone, float weight) {
        int headerBytes = 11;
        int entryBytes = 5;
        ByteBuffer to = ByteBuffer.allocate(headerBytes + entryBytes * SERVERS);
        to.put((byte) 2).put((byte) SERVERS).put((byte) zone).putShort((short) 4000);
        to.putFloat(weight).putShort((short) 0);
        for (int server : servers) {
            // An open circuit, and as much in flight as can be told.
            to.putInt(server).put((byte) 0xff);
        }
        return to.array();
    }

    @Test
    void forgedReportsOfOneZoneCloseNothing() throws Exception {
        int[] routersOfZoneOne = {7, 10, 13, 16};
        for (int router : routersOfZoneOne) {
            fanOut.sendAdditional(router, forged(zone(router), ROUTERS));
            fanOut.sendAdditional(router, forged(zone(router), Float.NaN));
        }
        assertServed("with forged reports");
        for (int process = 0; process < REAL; process++) {
            assertEquals(
                    routersOfZoneOne.length, counter(process, "peer_messages_malformed"), "without a number as weight");
        }
    }
}
