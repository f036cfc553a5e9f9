package stagepier.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
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

/** Prevents clients that send parts of long commands from ending the connections of clients that send whole ones. */
class InputMemoryTest {
    private static final int SLOTS = 600;
    private static final int PARTIAL_CLIENTS = 160;
    private static final int USUAL_CLIENTS = 20;
    private static final int VALUE_BYTES = 64 * 1024;
    /** Bytes by which the commands of the misbehaving clients are too short. */
    private static final int MISSING_BYTES = 500;
    /** In seconds. */
    private static final double STEP = 0.05;
    /** In seconds. Time after which a request without an answer is lost: the client's own wait and half a second. */
    private static final double LOST_AFTER = 3;

    private static final String SETTINGS = """
            {"Classes":[{"Name":"read","Deadline":9,"GoalTime":1,"Repeat":"idempotent","Worth":1},
            {"Name":"put","Deadline":9,"GoalTime":1,"Repeat":"at_most_once","Worth":1}],"Areas":["a"],
            "Flavors":["m"],"Limits":{"MaxAttempts":3,"MaxRetryAfter":1.2,"DialTimeout":2,"IdleClose":60},
            "Obligations":{"DrainGrace":1}}""";

    private final ManualClock clock = new ManualClock();
    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final List<BackPressuredClient> open = new ArrayList<>();
    private ModuleHost host;
    private ClientListener clients;
    private int lastId;

    /** Refuses each request at once. */
    private final class Refusing extends NoOpEvents {
        @Override
        public void onRequest(double now, Api.Request request) {
            host.refuse(request.id(), 0.1);
        }
    }

    @BeforeEach
    void startListener() {
        loop.freezeTime();
        LoopDelay delay = new LoopDelay();
        host = new ModuleHost(loop.eventLoop(), clock, delay, SettingsParser.parse(SETTINGS));
        host.connect(new Refusing(), new NoOpTransport() {});
        Drain drain = new Drain();
        clients = new ClientListener(loop.eventLoop(), clock, delay, SLOTS, host, () -> "END", drain);
        drain.started();
        clients.scheduleSlotCheck();
    }

    private String write(int missingBytes) {
        return "ms k %d Ox%d Pc=put,d=2500\r\n".formatted(VALUE_BYTES, ++lastId)
                + "w".repeat(VALUE_BYTES - missingBytes)
                + (missingBytes == 0 ? "\r\n" : "");
    }

    private String read() {
        return "mg k v Ox%d Pc=read,d=2500\r\n".formatted(++lastId);
    }

    private BackPressuredClient connect() {
        BackPressuredClient client = new BackPressuredClient(clients, loop);
        open.add(client);
        return client;
    }

    private void sendPart() {
        connect().send(write(MISSING_BYTES));
    }

    private void pass(double seconds) {
        for (double passed = 0; passed < seconds; passed += STEP) {
            clock.pass(STEP);
            loop.advanceTimeBy((long) (STEP * 1e6), TimeUnit.MICROSECONDS);
            loop.runPendingTasks();
            loop.runScheduledPendingTasks();
            open.forEach(client -> {
                client.runPendingTasks();
                client.deliver();
            });
        }
    }

    @Test
    void wholeCommandsAreAnsweredWhilePartsOfOthersFillTheMemory() {
        IntStream.range(0, PARTIAL_CLIENTS).forEach(i -> sendPart());
        List<BackPressuredClient> usual =
                IntStream.range(0, USUAL_CLIENTS).mapToObj(i -> connect()).toList();
        usual.forEach(client -> client.send(write(0) + read()));
        // Each misbehaving client comes again at once, so that memory that is freed is claimed by others as well.
        for (double passed = 0; passed < LOST_AFTER; passed += 1) {
            pass(1);
            IntStream.range(0, PARTIAL_CLIENTS).forEach(i -> sendPart());
        }
        for (BackPressuredClient client : usual) {
            String answers = client.answers();
            assertEquals(2, answers.split("SERVER_ERROR busy ", -1).length - 1, "answers: " + answers);
        }
    }

    @Test
    void partsOfCommandsAreStillRejectedWhileTheyWaitForMemory() {
        IntStream.range(0, PARTIAL_CLIENTS).forEach(i -> sendPart());
        pass(LOST_AFTER);
        for (BackPressuredClient client : open) {
            assertTrue(client.answers().startsWith("CLIENT_ERROR command not finished in time"));
        }
    }
}
