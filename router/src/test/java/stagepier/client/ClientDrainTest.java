package stagepier.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stagepier.Api;
import stagepier.drain.Drain;
import stagepier.exchange.ManualClock;
import stagepier.exchange.ModuleHost;
import stagepier.exchange.NoOpEvents;
import stagepier.exchange.NoOpTransport;
import stagepier.invariants.Invariant;
import stagepier.overload.LoopDelay;
import stagepier.settings.SettingsParser;

/** A drain closes the links of clients whose links are never idle when it checks them. The test controls the time. */
class ClientDrainTest {
    private static final int SLOTS = 20;
    /** After a pause, idle links are closed from 0.3 s until 1.2 s. */
    private static final int CLOSING_IDLE_MS = 400;
    /** Time after a pause by which the idle links have been closed one by one. */
    private static final int IDLE_CLOSED_MS = 1150;
    /** Time after a pause from which on the remaining links take no more commands. */
    private static final int LAST_MS = 1300;

    private static final String SETTINGS = """
            {"Classes":[{"Name":"read","Deadline":5,"GoalTime":1,"Repeat":"idempotent","Worth":1}],"Areas":["a"],
            "Flavors":["m"],"Limits":{"MaxAttempts":3,"MaxRetryAfter":1.2,"DialTimeout":2,"IdleClose":60},
            "Obligations":{"DrainGrace":1}}""";

    /** Keeps requests pending until the test answers them. */
    private final class PendingModule extends NoOpEvents {
        @Override
        public void onRequest(double now, Api.Request request) {
            requests.add(request.id());
        }
    }

    private final ManualClock clock = new ManualClock();
    private final Queue<Long> requests = new ArrayDeque<>();
    private final Drain drain = new Drain();
    private final EmbeddedChannel time = new EmbeddedChannel();
    private ModuleHost host;
    private ClientListener clients;
    private EmbeddedClient client;

    @BeforeEach
    void connectClient() {
        time.freezeTime();
        LoopDelay delay = new LoopDelay();
        host = new ModuleHost(time.eventLoop(), clock, delay, SettingsParser.parse(SETTINGS));
        host.connect(new PendingModule(), new NoOpTransport() {});
        clients = new ClientListener(time.eventLoop(), clock, delay, SLOTS, host, () -> "END", drain);
        client = new EmbeddedClient(clients);
        drain.started();
    }

    /** A client whose channel throws once at the next check after the test has armed it. */
    private final class FaultyClient extends EmbeddedClient {
        private boolean fails;

        FaultyClient() {
            super(clients);
        }

        @Override
        public boolean isActive() {
            if (fails) {
                fails = false;
                throw new IllegalStateException("injected fault");
            }
            return super.isActive();
        }
    }

    private void advance(int milliseconds) {
        for (int ms = 0; ms < milliseconds; ms++) {
            clock.pass(1e-3);
            time.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            time.runScheduledPendingTasks();
            time.runPendingTasks();
        }
    }

    private void submit(String... ids) {
        StringBuilder text = new StringBuilder();
        for (String id : ids) {
            text.append("mg k v O").append(id).append(" Pc=read,d=4000\r\n");
        }
        client.write(text.toString());
        advance(1);
    }

    private void pause() {
        drain.pause(clock.now());
        advance(CLOSING_IDLE_MS);
    }

    private void refuseNext() {
        host.refuse(requests.remove(), 0.1);
        client.runPendingTasks();
    }

    @Test
    void idleLinkIsClosed() {
        submit("a");
        refuseNext();
        pause();
        assertFalse(client.isOpen());
    }

    @Test
    void linkThatIsNeverIdleAtACheckClosesRightAfterItsAnswer() {
        submit("a");
        pause();
        assertTrue(client.isOpen(), "an answer is pending");
        refuseNext();
        assertEquals("SERVER_ERROR busy 100\r\n", client.answers());
        assertFalse(client.isOpen());
    }

    @Test
    void pendingRequestsAreAnsweredBeforeTheLinkCloses() {
        submit("a", "b");
        pause();
        refuseNext();
        assertTrue(client.isOpen(), "another request is pending");
        submit("c");
        refuseNext();
        refuseNext();
        assertEquals("SERVER_ERROR busy 100\r\n".repeat(3), client.answers());
        assertFalse(client.isOpen());
    }

    @ParameterizedTest
    @ValueSource(ints = {IDLE_CLOSED_MS, LAST_MS})
    void failedCheckOfOneLinkDoesNotKeepOtherLinksOpen(int drainedFor) {
        FaultyClient faulty = new FaultyClient();
        EmbeddedClient other = new EmbeddedClient(clients);
        advance(LAST_MS);
        faulty.fails = true;
        drain.pause(clock.now());
        advance(drainedFor);
        assertFalse(client.isOpen());
        assertFalse(other.isOpen());
        assertFalse(faulty.isOpen(), "the failed link is aborted");
    }

    @Test
    void clientsConnectedPastTheDrainDeadlineAreCounted() {
        EmbeddedClient withinCommand = new EmbeddedClient(clients);
        withinCommand.write("hello\r\nhel");
        submit("a");
        refuseNext();
        advance(LAST_MS);
        drain.pause(clock.now());
        // The loop stands still until after the deadline of the drain.
        clock.pass(4.2);
        time.advanceTimeBy(4200, TimeUnit.MILLISECONDS);
        time.runScheduledPendingTasks();
        assertEquals(2, host.invariants().violations(Invariant.GONE_BY_END_OF_DRAIN));
        advance(1);
        assertFalse(client.isOpen() || withinCommand.isOpen());
    }

    @Test
    void noClientIsCountedWhenADrainEndsInTime() {
        submit("a");
        pause();
        refuseNext();
        advance(5000);
        assertEquals(0, host.invariants().violations(Invariant.GONE_BY_END_OF_DRAIN));
    }

    @Test
    void linkStaysOpenWhenTheDrainIsCancelled() {
        submit("a");
        pause();
        drain.resume();
        advance(CLOSING_IDLE_MS);
        refuseNext();
        assertEquals("SERVER_ERROR busy 100\r\n", client.answers());
        assertTrue(client.isOpen());
    }
}
