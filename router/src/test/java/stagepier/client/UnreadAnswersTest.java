package stagepier.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stagepier.Api;
import stagepier.drain.Drain;
import stagepier.exchange.Exchange;
import stagepier.exchange.ManualClock;
import stagepier.exchange.ModuleHost;
import stagepier.exchange.NoOpEvents;
import stagepier.exchange.NoOpTransport;
import stagepier.exchange.ResponseInfo;
import stagepier.overload.LoopDelay;
import stagepier.settings.SettingsParser;

/** Prevents answers that clients leave unread from filling the heap, and from keeping other clients from being served. */
class UnreadAnswersTest {
    private static final int SLOTS = 600;
    private static final int COMMANDS_AT_ONCE = 120;
    private static final int VALUE_BYTES = 64_000;
    private static final int SMALL_VALUE_BYTES = 100;
    /** Half of the heap that the command of the deploy file gives a router. */
    private static final long ANSWER_BYTES_MAX = 32 << 20;

    private static final String SETTINGS = """
            {"Classes":[{"Name":"read","Deadline":5,"GoalTime":1,"Repeat":"idempotent","Worth":1},
            {"Name":"put","Deadline":5,"GoalTime":1,"Repeat":"at_most_once","Worth":1}],"Areas":["a"],
            "Flavors":["m"],"Limits":{"MaxAttempts":3,"MaxRetryAfter":1.2,"DialTimeout":2,"IdleClose":60},
            "Obligations":{"DrainGrace":1}}""";

    /** A client that can leave its answers unread, with a socket that buffers none of them. */
    private final class Client extends EmbeddedClient {
        private boolean reads;

        Client(boolean reads) {
            super(clients);
            this.reads = reads;
        }

        @Override
        protected void doWrite(ChannelOutboundBuffer in) throws Exception {
            if (reads) {
                super.doWrite(in);
            }
        }

        void send(String text) {
            write(text);
            loop.runPendingTasks();
            loop.runScheduledPendingTasks();
        }

        void readOn() {
            reads = true;
            flush();
            runPendingTasks();
        }
    }

    private final ManualClock clock = new ManualClock();
    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final byte[] value = new byte[VALUE_BYTES];
    private final Queue<Exchange> sent = new ArrayDeque<>();
    private ModuleHost host;
    private ClientListener clients;
    private int lastId;

    @BeforeEach
    void startListener() {
        loop.freezeTime();
        LoopDelay delay = new LoopDelay();
        host = new ModuleHost(loop.eventLoop(), clock, delay, SettingsParser.parse(SETTINGS));
        host.connect(
                new NoOpEvents() {
                    @Override
                    public void onRequest(double now, Api.Request request) {
                        host.send(request.id(), 1, 0);
                    }
                },
                new NoOpTransport() {
                    @Override
                    public Transmission send(Exchange exchange, int attempt, long server, double timeout) {
                        sent.add(exchange);
                        return () -> {};
                    }
                });
        Drain drain = new Drain();
        clients = new ClientListener(loop.eventLoop(), clock, delay, SLOTS, host, () -> "END", drain);
        drain.started();
    }

    private String reads(int count) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append("mg k v Ox").append(++lastId).append(" Pc=read,d=4000\r\n");
        }
        return text.toString();
    }

    private String write() {
        return "ms k " + VALUE_BYTES + " Ox" + ++lastId + " Pc=put,d=4000\r\n" + "w".repeat(VALUE_BYTES) + "\r\n";
    }

    /** Gives every request that was sent its answer, and so on for the requests that follow; returns their number. */
    private int answerAll() {
        return answerAll(value);
    }

    private int answerAll(byte[] readValue) {
        int answered = 0;
        for (Exchange x = sent.poll(); x != null; x = sent.poll()) {
            byte[] body = x.command().isWrite() ? "receipt".getBytes(StandardCharsets.ISO_8859_1) : readValue;
            host.ended(x, 0, 1, Api.Outcome.OK, clock.now(), ResponseInfo.NONE, body);
            answered++;
        }
        return answered;
    }

    private List<Client> connectReaders(int count) {
        List<Client> readers = new ArrayList<>(
                IntStream.range(0, count).mapToObj(i -> new Client(false)).toList());
        readers.forEach(reader -> reader.send(reads(COMMANDS_AT_ONCE)));
        return readers;
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 75, 170})
    void answersThatNobodyReadsTakeAtMostHalfOfTheHeap(int readers) {
        connectReaders(readers);
        long held = (long) answerAll() * VALUE_BYTES;
        assertTrue(held <= ANSWER_BYTES_MAX, readers + " clients that read nothing hold " + held + " bytes");
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 75, 170})
    void clientsThatReadAreServedBesideClientsThatDoNot(int readers) {
        connectReaders(readers);
        answerAll();
        for (int i = 0; i < 20; i++) {
            Client usual = new Client(true);
            usual.send(reads(1));
            answerAll();
            assertTrue(usual.answers().startsWith("VA " + VALUE_BYTES + " Ox" + lastId), "read " + i);
            usual.send(write());
            answerAll();
            assertTrue(usual.answers().startsWith("HD Ox" + lastId), "write " + i);
        }
    }

    private void serveSmallValues(int count) {
        Client usual = new Client(true);
        for (int i = 0; i < count; i++) {
            usual.send(reads(1));
            answerAll(new byte[SMALL_VALUE_BYTES]);
            assertTrue(usual.answers().startsWith("VA " + SMALL_VALUE_BYTES + " "));
        }
    }

    private long counter(String name) {
        long[] found = {-1};
        clients.count((counter, count) -> found[0] = counter.equals(name) ? count : found[0]);
        return found[0];
    }

    @Test
    void commandsOfManyClientsAreTakenAtOnceWhereValuesAreSmall() {
        serveSmallValues(1000);
        IntStream.range(0, 20).forEach(i -> new Client(true).send(reads(COMMANDS_AT_ONCE)));
        assertEquals(20 * COMMANDS_AT_ONCE, sent.size());
    }

    @Test
    void oneLargeValueAmongManySmallOnesThatAreExpectedKeepsNobodyFromBeingServed() {
        serveSmallValues(1000);
        IntStream.range(0, 20).forEach(i -> new Client(true).send(reads(COMMANDS_AT_ONCE)));
        host.ended(sent.remove(), 0, 1, Api.Outcome.OK, clock.now(), ResponseInfo.NONE, value);
        Client usual = new Client(true);
        usual.send(reads(1));
        assertEquals("", usual.answers(), "the request is open, not refused");
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 75, 170})
    void valuesThatSuddenlyGrowTakeAtMostHalfOfTheHeap(int readers) {
        serveSmallValues(1000);
        List<Client> slow = connectReaders(readers);
        answerAll();
        assertTrue(counter("client_bytes_held") <= ANSWER_BYTES_MAX, "held " + counter("client_bytes_held"));
        int answers = 0;
        for (Client reader : slow) {
            reader.readOn();
            answerAll();
            answers += reader.answers().split("\r\n(?=VA |SERVER_ERROR |$)").length;
        }
        assertEquals(readers * COMMANDS_AT_ONCE, answers, "each command has an answer, if only that it failed");
    }

    @Test
    void requestsAreRefusedAtOnceWhileTooMuchIsUnreadAndServedAgainAfterwards() {
        List<Client> readers =
                IntStream.range(0, 500).mapToObj(i -> new Client(false)).toList();
        for (Client reader : readers) {
            reader.send(reads(1));
            answerAll();
        }
        Client usual = new Client(true);
        usual.send(reads(1));
        assertEquals("SERVER_ERROR busy 1000\r\n", usual.answers());
        readers.forEach(Client::readOn);
        usual.send(reads(1));
        answerAll();
        assertTrue(usual.answers().startsWith("VA " + VALUE_BYTES + " Ox" + lastId));
    }

    @Test
    void commandsOfOneClientAreTakenAtOnceWhileThereIsRoom() {
        new Client(true).send(reads(COMMANDS_AT_ONCE));
        assertEquals(COMMANDS_AT_ONCE, sent.size());
    }

    @Test
    void everyCommandIsAnsweredOnceAClientReadsOn() {
        List<Client> readers = connectReaders(75);
        answerAll();
        int answers = 0;
        for (Client reader : readers) {
            reader.readOn();
            answerAll();
            answers += reader.answers().split("VA " + VALUE_BYTES + " ", -1).length - 1;
        }
        assertEquals(readers.size() * COMMANDS_AT_ONCE, answers);
    }

    @Test
    void memoryOfClientsThatHaveGoneIsFree() {
        List<Client> readers = connectReaders(75);
        answerAll();
        readers.forEach(EmbeddedChannel::close);
        loop.runPendingTasks();
        assertEquals(0, counter("client_bytes_held"));
        assertEquals(0, counter("client_bytes_reserved"));
    }
}
