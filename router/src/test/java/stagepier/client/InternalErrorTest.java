package stagepier.client;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import stagepier.Api;
import stagepier.drain.Drain;
import stagepier.exchange.ManualClock;
import stagepier.exchange.ModuleHost;
import stagepier.exchange.NoOpEvents;
import stagepier.exchange.NoOpTransport;
import stagepier.overload.LoopDelay;
import stagepier.settings.SettingsParser;
import stagepier.tasks.GuardedTask;

/** Prevents an error such as a lack of memory, met in one step, from ending the service of all clients for good. */
class InternalErrorTest {
    private static final int SLOTS = 20;
    /** Longer than the limit of unread answers, so that the next command waits until this one is written. */
    private static final int LONG_ANSWER = 200_000;

    private static final String SETTINGS = """
            {"Classes":[{"Name":"read","Deadline":5,"GoalTime":1,"Repeat":"idempotent","Worth":1}],"Areas":["a"],
            "Flavors":["m"],"Limits":{"MaxAttempts":3,"MaxRetryAfter":1.2,"DialTimeout":2,"IdleClose":60},
            "Obligations":{"DrainGrace":1}}""";

    private final ManualClock clock = new ManualClock();
    private final EmbeddedChannel loop = new EmbeddedChannel();
    private Supplier<String> stats = () -> "END";
    private ModuleHost host;
    private ClientListener clients;
    /** Whether the next request meets an error in the decision module. */
    private boolean moduleFails;
    /** Whether the decision module leaves requests open. */
    private boolean moduleWaits;

    private long lastRequest;

    /** Stands for a lack of memory, which would end the test run itself. */
    private static final class InjectedError extends Error {
        private static final long serialVersionUID = 1L;
    }

    /** A client whose channel throws an error once at its next check after a test has armed it. */
    private final class Client extends EmbeddedClient {
        private boolean fails;

        Client() {
            super(clients);
        }

        @Override
        public boolean isActive() {
            if (fails) {
                fails = false;
                throw new InjectedError();
            }
            return super.isActive();
        }

        void send(String text) {
            write(text);
            advance(1);
        }
    }

    @BeforeEach
    void startListener() {
        loop.freezeTime();
        LoopDelay delay = new LoopDelay();
        host = new ModuleHost(loop.eventLoop(), clock, delay, SettingsParser.parse(SETTINGS));
        host.connect(
                new NoOpEvents() {
                    @Override
                    public void onRequest(double now, Api.Request request) {
                        if (moduleFails) {
                            moduleFails = false;
                            throw new InjectedError();
                        }
                        lastRequest = request.id();
                        if (!moduleWaits) {
                            host.refuse(lastRequest, 0.1);
                        }
                    }
                },
                new NoOpTransport() {});
        Drain drain = new Drain();
        clients = new ClientListener(loop.eventLoop(), clock, delay, SLOTS, host, () -> stats.get(), drain);
        clients.scheduleSlotCheck();
        drain.started();
    }

    private static String failingStats() {
        throw new InjectedError();
    }

    private void advance(int milliseconds) {
        for (int ms = 0; ms < milliseconds; ms++) {
            clock.pass(1e-3);
            loop.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            loop.runScheduledPendingTasks();
            loop.runPendingTasks();
        }
    }

    @Test
    void errorInACommandOfOneClientDoesNotEndTheServiceOfOthers() {
        stats = InternalErrorTest::failingStats;
        Client faulty = new Client();
        Client other = new Client();
        faulty.send("stats\r\n");
        other.send("mn\r\n");
        assertEquals("MN\r\n", other.answers());
        assertFalse(faulty.isOpen(), "a link whose state is unknown is closed");
    }

    @Test
    void errorInTheDecisionModuleDoesNotEndTheServiceOfOthers() {
        Client faulty = new Client();
        Client other = new Client();
        moduleFails = true;
        faulty.send("mg k v Oa Pc=read,d=4000\r\n");
        other.send("mg k v Ob Pc=read,d=4000\r\n");
        assertEquals("SERVER_ERROR busy 100\r\n", other.answers());
        advance(5000);
        assertEquals("SERVER_ERROR failed\r\n", faulty.answers(), "answered when its time is over");
    }

    @Test
    void errorInAStepAfterAWriteClosesTheLinkInsteadOfLeavingItWithoutAnswers() {
        Client client = new Client();
        stats = () -> {
            stats = InternalErrorTest::failingStats;
            return "x".repeat(LONG_ANSWER);
        };
        client.send("stats\r\nstats\r\nmn\r\n");
        assertFalse(client.isOpen());
    }

    @Test
    void errorInWritingAnAnswerEndsTheLinkOfItsClientAlone() {
        Client faulty = new Client();
        moduleWaits = true;
        faulty.send("mg k v Oa Pc=read,d=4000\r\n");
        faulty.fails = true;
        assertDoesNotThrow(() -> host.refuse(lastRequest, 0.1), "the step of a cache server's link goes on");
        assertFalse(faulty.isOpen());
    }

    @Test
    void errorInACheckOfTheSlotsDoesNotEndTheChecks() {
        Client faulty = new Client();
        Client silent = new Client();
        faulty.fails = true;
        advance(5000);
        assertFalse(silent.isOpen(), "a client that never sends is still closed");
        assertFalse(faulty.isOpen());
    }

    @Test
    void errorInAPeriodicTaskDoesNotReachTheEventLoop() {
        GuardedTask task = new GuardedTask("step with an injected error", InternalErrorTest::failingStats);
        assertDoesNotThrow(task::run);
    }
}
