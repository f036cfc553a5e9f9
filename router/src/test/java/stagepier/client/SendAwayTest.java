package stagepier.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
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

/** How a drain sends clients away whose links are never idle when it looks, with time that a test moves on. */
class SendAwayTest {
    private static final int PLACES = 20;
    /** From a pause on, links leave after 0.3 s and until 1.2 s. */
    private static final int LEAVING_MS = 400;
    /** So long after a pause the idle links have left one by one. */
    private static final int MOSTLY_GONE_MS = 1150;
    /** Links that have not left by then take nothing more. */
    private static final int LAST_MS = 1300;

    private static final String SETTINGS = """
            {"Classes":[{"Name":"read","Deadline":5,"GoalTime":1,"Repeat":"idempotent","Worth":1}],"Areas":["a"],
            "Flavors":["m"],"Limits":{"MaxAttempts":3,"MaxRetryAfter":1.2,"DialTimeout":2,"IdleClose":60},
            "Obligations":{"DrainGrace":1}}""";

    /** Requests wait until the test answers them. */
    private final class WaitingModule extends NoOpEvents {
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
    private EmbeddedChannel client;

    @BeforeEach
    void connectClient() {
        time.freezeTime();
        LoopDelay delay = new LoopDelay();
        host = new ModuleHost(time.eventLoop(), clock, delay, SettingsParser.parse(SETTINGS));
        host.connect(new WaitingModule(), new NoOpTransport() {});
        clients = new ClientListener(time.eventLoop(), clock, delay, PLACES, host, () -> "END", drain);
        client = new EmbeddedChannel(adopting());
        drain.started();
    }

    private ChannelInitializer<Channel> adopting() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                clients.adopt(channel);
            }
        };
    }

    /** A client whose channel throws at the next look, once it is told to. */
    private final class FaultyChannel extends EmbeddedChannel {
        private boolean fails;

        FaultyChannel() {
            super(adopting());
        }

        @Override
        public boolean isActive() {
            if (fails) {
                fails = false;
                throw new IllegalStateException("a fault that a test makes");
            }
            return super.isActive();
        }
    }

    private void pass(int milliseconds) {
        for (int ms = 0; ms < milliseconds; ms++) {
            clock.pass(1e-3);
            time.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            time.runScheduledPendingTasks();
            time.runPendingTasks();
        }
    }

    private void ask(String... ids) {
        StringBuilder text = new StringBuilder();
        for (String id : ids) {
            text.append("mg k v O").append(id).append(" Pc=read,d=4000\r\n");
        }
        client.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        pass(1);
    }

    private void pause() {
        drain.pause(clock.now());
        pass(LEAVING_MS);
    }

    private void refuseNext() {
        host.refuse(requests.remove(), 0.1);
        client.runPendingTasks();
    }

    private String answers() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf bytes = client.readOutbound(); bytes != null; bytes = client.readOutbound()) {
            text.append(bytes.toString(StandardCharsets.ISO_8859_1));
            bytes.release();
        }
        return text.toString();
    }

    @Test
    void anIdleLinkIsClosed() {
        ask("a");
        refuseNext();
        pause();
        assertFalse(client.isOpen());
    }

    @Test
    void aLinkThatIsNeverIdleWhenItIsLookedAtClosesRightAfterItsAnswer() {
        ask("a");
        pause();
        assertTrue(client.isOpen(), "it is owed an answer");
        refuseNext();
        assertEquals("SERVER_ERROR busy 100\r\n", answers());
        assertFalse(client.isOpen());
    }

    @Test
    void whatWasAskedBeforeIsAnsweredFirst() {
        ask("a", "b");
        pause();
        refuseNext();
        assertTrue(client.isOpen(), "one more is open on it");
        ask("c");
        refuseNext();
        refuseNext();
        assertEquals("SERVER_ERROR busy 100\r\n".repeat(3), answers());
        assertFalse(client.isOpen());
    }

    @ParameterizedTest
    @ValueSource(ints = {MOSTLY_GONE_MS, LAST_MS})
    void aLinkOnWhichALookFailsKeepsNoOtherClient(int drainedFor) {
        FaultyChannel faulty = new FaultyChannel();
        EmbeddedChannel other = new EmbeddedChannel(adopting());
        pass(LAST_MS);
        faulty.fails = true;
        drain.pause(clock.now());
        pass(drainedFor);
        assertFalse(client.isOpen());
        assertFalse(other.isOpen());
        assertFalse(faulty.isOpen(), "nobody looks after it any more");
    }

    @Test
    void clientsThatAreStillThereAtTheEndOfADrainsTimeAreCounted() {
        EmbeddedChannel inACommand = new EmbeddedChannel(adopting());
        inACommand.writeInbound(Unpooled.copiedBuffer("hello\r\nhel", StandardCharsets.ISO_8859_1));
        ask("a");
        refuseNext();
        pass(LAST_MS);
        drain.pause(clock.now());
        // The loop stands still, past the time of the drain.
        clock.pass(4.2);
        time.advanceTimeBy(4200, TimeUnit.MILLISECONDS);
        time.runScheduledPendingTasks();
        assertEquals(2, host.invariants().violations(Invariant.GONE_BY_END_OF_DRAIN));
        pass(1);
        assertFalse(client.isOpen() || inACommand.isOpen());
    }

    @Test
    void noClientIsCountedWhereADrainTakesItsTime() {
        ask("a");
        pause();
        refuseNext();
        pass(5000);
        assertEquals(0, host.invariants().violations(Invariant.GONE_BY_END_OF_DRAIN));
    }

    @Test
    void afterTheDrainItsLinkStays() {
        ask("a");
        pause();
        drain.resume();
        pass(LEAVING_MS);
        refuseNext();
        assertEquals("SERVER_ERROR busy 100\r\n", answers());
        assertTrue(client.isOpen());
    }
}
