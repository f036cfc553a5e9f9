package stagepier.discovery;

import com.google.gson.JsonParser;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongPredicate;
import stagepier.Api;
import stagepier.exchange.Clock;
import stagepier.settings.SettingsParser;

/**
 * A watch on a loop that the test turns by hand, in time that only the test moves on, against agents on real sockets that
 * the same thread plays. An agent answers as the protocol says, at once with what is newer and else when the wait is over,
 * unless it is told to be silent.
 */
final class WatchBench implements Closeable {
    /** What an agent does with an answer that is due. */
    enum Speech {
        WHOLE,
        NOTHING,
        HALF_A_HEAD,
        HEAD,
        HALF_A_LIST,
        PIECES,
        RESET,
        /** A byte now and then. */
        DRIP,
        /** Without a length: the whole list and the end, the whole list and a reset, half a list and the end. */
        UNTIL_THE_END,
        UNTIL_A_RESET,
        CUT_BY_THE_END
    }

    static final int STEP_MS = 10;
    private static final int PIECE = 24;
    private static final int PIECE_EVERY_MS = 300;
    private static final int DRIP_EVERY_MS = 900;
    /** A watch goes on where the next call comes within this after the last answer. */
    private static final int WATCH_GOES_ON_MS = 200;

    private static final byte[] UNAVAILABLE =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final MockTicker ticker = Ticker.newMockTicker();
    final ManualIoEventLoop loop =
            new ManualIoEventLoop(null, Thread.currentThread(), NioIoHandler.newFactory(), ticker);
    final HostGroup group =
            new HostGroup(new SettingsParser.Names(List.of("c"), List.of(), List.of("a"), List.of("m")), new Clock());
    final List<Agent> agents = new ArrayList<>();
    final DiscoveryWatch watch;
    /** When the drain became known to the router; -1 before. In milliseconds. */
    long drainedAt = -1;

    long now;

    WatchBench() throws IOException {
        this(7);
    }

    WatchBench(long seed) throws IOException {
        this(seed, WatchTimes.ofAgent(1));
    }

    WatchBench(long seed, WatchTimes times) throws IOException {
        group.apply(JsonParser.parseString(list(1, true, "up")));
        Agent first = new Agent();
        watch = new DiscoveryWatch(loop, first.address(), times, group, this::changed, () -> {}, new Random(seed));
    }

    /** What is done upon each answer. */
    Runnable onAnswer = () -> {};

    private void changed(HostGroup.Change change) {
        onAnswer.run();
        if (drainedAt < 0 && change.hosts().stream().anyMatch(h -> h.member().state() == Api.MemberState.DRAINING)) {
            drainedAt = now;
        }
    }

    /** Indented, as an agent may send it. */
    static String list(int generation, boolean reset, String lifecycle) {
        String entry = lifecycle.isEmpty() ? "" : """
                    {"instanceId": "s-00000001", "hostPort": "127.0.0.1:9", "zone": "a",
                     "machineType": "m", "cell": 0, "lifecycle": "%s", "weight": 1.0}
                """.formatted(lifecycle);
        return """
                {
                  "generation": %d,
                  "reset": %b,
                  "instances": [
                %s  ]
                }
                """.formatted(generation, reset, entry);
    }

    /** Time goes by, and both sides act in it. */
    void run(long ms) throws IOException {
        for (long end = now + ms; now < end; ) {
            now += STEP_MS;
            ticker.advance(STEP_MS, TimeUnit.MILLISECONDS);
            turn();
        }
    }

    /** Everything that can happen at this moment does. */
    void turn() throws IOException {
        for (int i = 0; i < 4; i++) {
            loop.runNow();
            for (Agent agent : agents) {
                agent.act();
            }
        }
    }

    /** Time goes by in which the router's process stands still: timers are due before any socket is looked at. */
    void freeze(long ms) throws IOException {
        for (long end = now + ms; now < end; ) {
            now += STEP_MS;
            ticker.advance(STEP_MS, TimeUnit.MILLISECONDS);
            for (Agent agent : agents) {
                agent.act();
            }
        }
        loop.runNonBlockingTasks(0);
    }

    void until(BooleanSupplier condition, long most) throws IOException {
        for (long end = now + most; !condition.getAsBoolean(); ) {
            if (now >= end) {
                throw new AssertionError("not within " + most + " ms");
            }
            run(STEP_MS);
        }
    }

    @Override
    public void close() throws IOException {
        watch.stop();
        loop.runNow();
        for (Agent agent : List.copyOf(agents)) {
            agent.close();
        }
    }

    long counted(String name) {
        long[] found = {-1};
        watch.count((counter, value) -> found[0] = counter.equals(name) ? value : found[0]);
        return found[0];
    }

    /** One connection and the call on it that waits, if one does. */
    private static final class Call {
        private final SocketChannel socket;
        private String head = "";
        private boolean isOpen;
        private int from;
        private boolean asksAll;
        private long until;
        private byte[] rest = {};
        private boolean drips;
        private long nextPieceAt;
        private boolean dead;
        private boolean isLost;
        /** A call on it that waits for what is new has been answered, and when that was; one that does not wait is no watch. */
        private boolean isWatched;

        private boolean waits;
        private long answeredAt;
        /** When its answer is written; -1 before that is known. */
        private long turnAt = -1;

        Call(SocketChannel socket) {
            this.socket = socket;
        }
    }

    /** An agent of discovery on a socket of its own. */
    final class Agent {
        private ServerSocketChannel listening;
        private final InetSocketAddress at;
        private final List<Call> calls = new ArrayList<>();
        int generation = 1;
        boolean isDown;
        private boolean isAway;
        private final List<SocketChannel> fillers = new ArrayList<>();
        /** What answers are on all connections, also on those to come. */
        Speech always = Speech.WHOLE;
        /** A call that came while the agent was silent has no answer ever. */
        boolean forgets;
        /** What the next answers on connections that are there by now are; others get whole ones. */
        private Speech speech = Speech.WHOLE;
        /** Whether a call is turned away at once, given the moment. */
        LongPredicate turnsAway = at -> false;
        /** Every call is turned away at once. */
        boolean refuses;
        /** A service that many routers ask: what others have asked takes it so long before each answer here. */
        int turnMs;

        int asked;
        int connections;
        int longestHold;
        long askedAt;

        Agent() throws IOException {
            this(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        }

        Agent(InetSocketAddress at) throws IOException {
            listen(at);
            this.at = (InetSocketAddress) listening.getLocalAddress();
            agents.add(this);
        }

        private void listen(InetSocketAddress where) throws IOException {
            listening = ServerSocketChannel.open();
            listening.setOption(java.net.StandardSocketOptions.SO_REUSEADDR, true);
            listening.bind(where, 1);
            listening.configureBlocking(false);
        }

        /** New connections are refused, or else they never come up; those that are there fall silent for good. */
        void cutOff(boolean refuses) throws IOException {
            forgetCalls();
            isAway = true;
            if (refuses) {
                listening.close();
                return;
            }
            for (int i = 0; i < 2; i++) {
                SocketChannel filler = SocketChannel.open();
                filler.configureBlocking(false);
                filler.connect(at);
                fillers.add(filler);
            }
        }

        /** New connections are accepted again. */
        void comeBack() throws IOException {
            isAway = false;
            for (SocketChannel filler : fillers) {
                filler.close();
            }
            fillers.clear();
            if (!listening.isOpen()) {
                listen(at);
            }
        }

        /** What has been asked by now has no answer ever. */
        void forgetCalls() {
            for (Call call : calls) {
                call.isOpen = false;
                call.rest = new byte[0];
                call.isLost = true;
            }
        }

        InetSocketAddress address() {
            return at;
        }

        /** Nobody is there any more. */
        void close() throws IOException {
            agents.remove(this);
            comeBack();
            listening.close();
            for (Call call : calls) {
                call.socket.close();
            }
        }

        /** The cache server drains from now on, as this agent has it. */
        void drain() {
            generation++;
        }

        /** Connections that are there by now fall silent in this way. */
        void breakOpenOnes(Speech how) throws IOException {
            speech = how;
            for (Call call : calls) {
                call.dead = true;
                if (how == Speech.RESET) {
                    call.socket.setOption(java.net.StandardSocketOptions.SO_LINGER, 0);
                    call.socket.close();
                }
            }
        }

        void act() throws IOException {
            for (SocketChannel s = accept(); s != null; s = accept()) {
                s.configureBlocking(false);
                s.setOption(java.net.StandardSocketOptions.TCP_NODELAY, true);
                calls.add(new Call(s));
                connections++;
            }
            calls.removeIf(c -> !c.socket.isOpen());
            for (Call call : calls) {
                read(call);
                answer(call);
            }
        }

        private SocketChannel accept() throws IOException {
            return isAway ? null : listening.accept();
        }

        private void read(Call call) throws IOException {
            ByteBuffer bytes = ByteBuffer.allocate(4096);
            try {
                if (call.socket.read(bytes) < 0) {
                    call.socket.close();
                    return;
                }
            } catch (IOException e) {
                call.socket.close();
                return;
            }
            call.head += new String(bytes.array(), 0, bytes.position(), StandardCharsets.ISO_8859_1);
            if (call.head.endsWith("\r\n\r\n")) {
                String query = call.head.substring(call.head.indexOf('?') + 1, call.head.indexOf(" HTTP"));
                call.asksAll = !query.contains("from=");
                call.from = call.asksAll ? -1 : Integer.parseInt(query.replaceAll(".*from=(\\d+).*", "$1"));
                int hold = call.asksAll ? 0 : Integer.parseInt(query.replaceAll(".*hold_ms=(\\d+).*", "$1"));
                longestHold = Math.max(longestHold, hold);
                call.until = now + hold;
                call.waits = hold > 1;
                call.isOpen = !(isDown && forgets || call.isLost);
                call.head = "";
                call.turnAt = -1;
                asked++;
                askedAt = now;
                boolean goesOn = call.isWatched && now - call.answeredAt <= WATCH_GOES_ON_MS;
                if (refuses || !goesOn && turnsAway.test(now)) {
                    call.isOpen = false;
                    write(call, UNAVAILABLE);
                }
            }
        }

        private void answer(Call call) throws IOException {
            if (call.rest.length > 0 && now >= call.nextPieceAt) {
                int n = Math.min(call.drips ? 1 : PIECE, call.rest.length);
                write(call, java.util.Arrays.copyOf(call.rest, n));
                call.rest = java.util.Arrays.copyOfRange(call.rest, n, call.rest.length);
                call.nextPieceAt = now + (call.drips ? DRIP_EVERY_MS : PIECE_EVERY_MS);
            }
            if (!call.socket.isOpen() || !call.isOpen || isDown || call.from >= generation && now < call.until) {
                return;
            }
            call.turnAt = call.turnAt < 0 ? now + turnMs : call.turnAt;
            if (now < call.turnAt) {
                return;
            }
            call.isOpen = false;
            call.isWatched = call.waits;
            call.answeredAt = now;
            String body = list(generation, call.asksAll, call.from < generation ? "draining" : "");
            Speech said = call.dead ? speech : always;
            boolean untilTheEnd =
                    said == Speech.UNTIL_THE_END || said == Speech.UNTIL_A_RESET || said == Speech.CUT_BY_THE_END;
            String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    + (untilTheEnd ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n";
            byte[] all = (head + body).getBytes(StandardCharsets.ISO_8859_1);
            int length = switch (said) {
                case NOTHING, RESET, PIECES, DRIP -> 0;
                case HALF_A_HEAD -> head.length() / 2;
                case HEAD -> head.length();
                case HALF_A_LIST, CUT_BY_THE_END -> head.length() + body.length() / 2;
                case WHOLE, UNTIL_THE_END, UNTIL_A_RESET -> all.length;
            };
            if (said == Speech.PIECES || said == Speech.DRIP) {
                call.rest = all;
                call.drips = said == Speech.DRIP;
            }
            write(call, java.util.Arrays.copyOf(all, length));
            if (said == Speech.UNTIL_A_RESET) {
                // The list has been read before the reset comes.
                loop.runNow();
                call.socket.setOption(java.net.StandardSocketOptions.SO_LINGER, 0);
            }
            if (untilTheEnd) {
                call.socket.close();
            }
        }

        private void write(Call call, byte[] bytes) throws IOException {
            try {
                call.socket.write(ByteBuffer.wrap(bytes));
            } catch (IOException e) {
                call.socket.close();
            }
        }
    }
}
