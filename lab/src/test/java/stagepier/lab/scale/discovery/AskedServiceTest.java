package stagepier.lab.scale.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.lab.standin.DiscoveryBehaviour;
import stagepier.lab.standin.DiscoveryService;
import stagepier.lab.standin.HostList;
import stagepier.lab.standin.LabClock;

/** What the service that is asked does with each call, and what makes a run say that it shows nothing. */
@Timeout(20)
class AskedServiceTest {
    private static final int SERVERS = 4;

    private final VirtualDiscovery time =
            new VirtualDiscovery(new DiscoverySetting(0, SERVERS, 1, DiscoveryBehaviour.PUSHED, WatchTimes.OF_AGENT));
    private final List<String> told = new ArrayList<>();

    private DiscoveryService service(
            double perCall, double perLine, double longestWait, int mostWaiting, boolean notices) {
        DiscoveryService service = new DiscoveryService(
                time, new DiscoveryBehaviour(true, perCall, perLine, longestWait, mostWaiting, notices));
        HostNames.publishAll(service, SERVERS);
        return service;
    }

    /** Notes when it is told what. */
    private DiscoveryService.Caller caller(String name, boolean isConnected) {
        return new DiscoveryService.Caller() {
            @Override
            public boolean isConnected() {
                return isConnected;
            }

            @Override
            public void answer(HostList.Message message) {
                note(
                        message.isWhole()
                                ? "whole"
                                : "changes " + message.entries().size());
            }

            @Override
            public void refuse() {
                note("refused");
            }

            @Override
            public void reset() {
                note("reset");
            }

            private void note(String what) {
                told.add("%s %s %.1f".formatted(name, what, time.now()));
            }
        };
    }

    @Test
    void callsAreWorkedOnInTurnAndWhoWaitedTooLongIsRefused() {
        DiscoveryService service = service(1, 0.25, 2.5, 10, false);
        for (String name : new String[] {"a", "b", "c"}) {
            service.call(caller(name, true), -1, 0);
        }
        time.pass(10);
        // A second for the call and a quarter for each of four entries.
        assertEquals(List.of("a whole 2.0", "b whole 4.0", "c refused 4.0"), told);
        assertEquals(1, service.refused());
    }

    @Test
    void moreThanMayWaitAreReset() {
        DiscoveryService service = service(1, 0, 10, 1, false);
        for (String name : new String[] {"in work", "waits", "too many"}) {
            service.call(caller(name, true), -1, 0);
        }
        time.pass(5);
        assertEquals(List.of("too many reset 0.0", "in work whole 1.0", "waits whole 2.0"), told);
    }

    @Test
    void whoHasGoneCostsAsMuchWhereItIsNotNoticed() {
        for (boolean notices : new boolean[] {false, true}) {
            told.clear();
            double from = time.now();
            DiscoveryService service = service(1, 0, 10, 10, notices);
            service.call(caller("gone", false), -1, 0);
            service.call(caller("there", true), -1, 0);
            time.pass(5);
            assertEquals(List.of("there whole %.1f".formatted(from + (notices ? 1 : 2))), told);
            assertEquals(notices ? 0 : 1, service.wasted());
        }
    }

    @Test
    void aWatchIsAnsweredByTheChangeOrAtItsEndAndResetByAnOutage() {
        DiscoveryService service = service(0, 0, 10, 10, false);
        service.call(caller("changed", true), SERVERS, 2);
        time.pass(1);
        service.publish(HostNames.draining(0));
        service.call(caller("ended", true), SERVERS + 1, 2);
        time.pass(2.5);
        service.call(caller("open", true), SERVERS + 1, 2);
        time.pass(0.5);
        service.down(true);
        service.call(caller("down", true), SERVERS + 1, 2);
        service.down(false);
        service.list().forgetHistory();
        service.call(caller("old", true), SERVERS, 2);
        assertEquals(
                List.of(
                        "changed changes 1 1.0",
                        "ended changes 0 3.0",
                        "open reset 4.0",
                        "down reset 4.0",
                        "old whole 4.0"),
                told);
    }

    @Test
    void aRunThatIsTooLargeForTheMachineIsNotStarted() {
        IOException e = assertThrows(IOException.class, () -> ResourceCheck.check(1_000_000));
        assertTrue(e.getMessage().startsWith("not started: needs "), e.getMessage());
        assertTrue(e.getMessage().lines().count() == 1, e.getMessage());
    }

    @Test
    void anEventLoopThatStoodStillIsSeen() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            EventLoop loop = group.next();
            EventLoopLagProbe probe = new EventLoopLagProbe(loop, new LabClock());
            probe.start();
            loop.submit(() -> {}).await();
            loop.submit(() -> {
                        Thread.sleep(200);
                        return null;
                    })
                    .await();
            loop.submit(() -> {}).await();
            Thread.sleep(50);
            assertTrue(probe.stop().getMaxValue() > 150_000, "microseconds late");
        } finally {
            group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
