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
 * Runs a watch on an event loop that the test steps manually, in virtual time, against agents on real sockets that the
 * same thread simulates. An agent follows the protocol: it answers at once with anything newer, and otherwise at the
 * end of the hold time, unless the test makes it silent.
 */
final class WatchBench implements Closeable {
    /** How an agent sends a response that is due. */
    enum ResponseMode {
        COMPLETE,
        SILENT,
        HALF_HEADER,
        HEADER_ONLY,
        HALF_BODY,
        PIECES,
        RESET,
        /** One byte now and then. */
        DRIP,
        /**
         * These three send no length: the whole list and a close, the whole list and a reset, half a list and a close.
         */
        UNTIL_CLOSE,
        UNTIL_RESET,
        TRUNCATED_BY_CLOSE
    }

    static final int STEP_MS = 10;
    private static final int PIECE_BYTES = 24;
    private static final int PIECE_INTERVAL_MS = 300;
    private static final int DRIP_INTERVAL_MS = 900;
    /** A call continues a watch if it arrives within this time after the previous response. */
    private static final int WATCH_CONTINUES_MS = 200;

    private static final byte[] UNAVAILABLE =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final MockTicker ticker = Ticker.newMockTicker();
    final ManualIoEventLoop loop =
            new ManualIoEventLoop(null, Thread.currentThread(), NioIoHandler.newFactory(), ticker);
    final HostGroup group =
            new HostGroup(new SettingsParser.Names(List.of("c"), List.of(), List.of("a"), List.of("m")), new Clock());
    final List<Agent> agents = new ArrayList<>();
    final DiscoveryWatch watch;
    /** When the drain became known to the router, in milliseconds; -1 before. */
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

    /** Runs upon each response. */
    Runnable onResponse = () -> {};

    private void changed(HostGroup.Change change) {
        onResponse.run();
        if (drainedAt < 0 && change.hosts().stream().anyMatch(h -> h.member().state() == Api.MemberState.DRAINING)) {
            drainedAt = now;
        }
    }

    /** Returns a list, indented as an agent may send it. */
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

    /** Advances time while both sides run. */
    void run(long ms) throws IOException {
        for (long end = now + ms; now < end; ) {
            now += STEP_MS;
            ticker.advance(STEP_MS, TimeUnit.MILLISECONDS);
            runPending();
        }
    }

    /** Runs everything that can happen at this moment. */
    void runPending() throws IOException {
        for (int i = 0; i < 4; i++) {
            loop.runNow();
            for (Agent agent : agents) {
                agent.step();
            }
        }
    }

    /** Advances time while the router's process is suspended: timers are due before any socket is read. */
    void suspendProcess(long ms) throws IOException {
        for (long end = now + ms; now < end; ) {
            now += STEP_MS;
            ticker.advance(STEP_MS, TimeUnit.MILLISECONDS);
            for (Agent agent : agents) {
                agent.step();
            }
        }
        loop.runNonBlockingTasks(0);
    }

    void runUntil(BooleanSupplier condition, long timeoutMs) throws IOException {
        for (long end = now + timeoutMs; !condition.getAsBoolean(); ) {
            if (now >= end) {
                throw new AssertionError("condition not met within " + timeoutMs + " ms");
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

    long counter(String name) {
        long[] found = {-1};
        watch.count((counter, value) -> found[0] = counter.equals(name) ? value : found[0]);
        return found[0];
    }

    /** A connection and its pending call, if there is one. */
    private static final class Call {
        private final SocketChannel socket;
        private String head = "";
        private boolean isOpen;
        private int from;
        private boolean wantsFullList;
        private long holdEndsAt;
        private byte[] remaining = {};
        private boolean drips;
        private long nextPieceAt;
        private boolean broken;
        private boolean dropped;
        /**
         * A call with a hold time has been answered on this connection, at {@code lastResponseAt}. A call without a
         * hold time does not make a watch.
         */
        private boolean isWatched;

        private boolean holds;
        private long lastResponseAt;
        /** When the response is written; -1 before that is known. */
        private long responseDueAt = -1;

        Call(SocketChannel socket) {
            this.socket = socket;
        }
    }

    /** A discovery agent on its own socket. */
    final class Agent {
        private ServerSocketChannel listening;
        private final InetSocketAddress at;
        private final List<Call> calls = new ArrayList<>();
        int generation = 1;
        boolean isSilent;
        private boolean notAccepting;
        private final List<SocketChannel> fillers = new ArrayList<>();
        /** The mode of responses on all connections, including future ones. */
        ResponseMode mode = ResponseMode.COMPLETE;
        /** Calls that arrive while the agent is silent are never answered. */
        boolean dropsCalls;
        /** The mode of responses on connections that are open when it is set; others get complete responses. */
        private ResponseMode openConnectionMode = ResponseMode.COMPLETE;
        /** Whether a call at the given time is rejected at once. */
        LongPredicate rejectsCall = at -> false;
        /** Every call is rejected at once. */
        boolean rejectsAll;
        /** Delay of each response, as by the calls of other routers in the queue of a shared service. */
        int queueDelayMs;

        int callsReceived;
        int connections;
        int maxHoldMs;
        long lastCallAt;

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

        /** New connections are refused, or else never established; open connections are silent permanently. */
        void stopAccepting(boolean refuseConnections) throws IOException {
            dropCalls();
            notAccepting = true;
            if (refuseConnections) {
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

        /** Accepts new connections again. */
        void acceptAgain() throws IOException {
            notAccepting = false;
            for (SocketChannel filler : fillers) {
                filler.close();
            }
            fillers.clear();
            if (!listening.isOpen()) {
                listen(at);
            }
        }

        /** Pending calls are never answered. */
        void dropCalls() {
            for (Call call : calls) {
                call.isOpen = false;
                call.remaining = new byte[0];
                call.dropped = true;
            }
        }

        InetSocketAddress address() {
            return at;
        }

        /** Closes the socket and all connections. */
        void close() throws IOException {
            agents.remove(this);
            acceptAgain();
            listening.close();
            for (Call call : calls) {
                call.socket.close();
            }
        }

        /** Marks the cache server as draining in the list of this agent. */
        void drain() {
            generation++;
        }

        /** Makes the connections that are open now fail in this mode. */
        void breakOpenConnections(ResponseMode responseMode) throws IOException {
            openConnectionMode = responseMode;
            for (Call call : calls) {
                call.broken = true;
                if (responseMode == ResponseMode.RESET) {
                    call.socket.setOption(java.net.StandardSocketOptions.SO_LINGER, 0);
                    call.socket.close();
                }
            }
        }

        void step() throws IOException {
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
            return notAccepting ? null : listening.accept();
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
                call.wantsFullList = !query.contains("from=");
                call.from = call.wantsFullList ? -1 : Integer.parseInt(query.replaceAll(".*from=(\\d+).*", "$1"));
                int hold = call.wantsFullList ? 0 : Integer.parseInt(query.replaceAll(".*hold_ms=(\\d+).*", "$1"));
                maxHoldMs = Math.max(maxHoldMs, hold);
                call.holdEndsAt = now + hold;
                call.holds = hold > 1;
                call.isOpen = !(isSilent && dropsCalls || call.dropped);
                call.head = "";
                call.responseDueAt = -1;
                callsReceived++;
                lastCallAt = now;
                boolean continuesWatch = call.isWatched && now - call.lastResponseAt <= WATCH_CONTINUES_MS;
                if (rejectsAll || !continuesWatch && rejectsCall.test(now)) {
                    call.isOpen = false;
                    write(call, UNAVAILABLE);
                }
            }
        }

        private void answer(Call call) throws IOException {
            if (call.remaining.length > 0 && now >= call.nextPieceAt) {
                int n = Math.min(call.drips ? 1 : PIECE_BYTES, call.remaining.length);
                write(call, java.util.Arrays.copyOf(call.remaining, n));
                call.remaining = java.util.Arrays.copyOfRange(call.remaining, n, call.remaining.length);
                call.nextPieceAt = now + (call.drips ? DRIP_INTERVAL_MS : PIECE_INTERVAL_MS);
            }
            if (!call.socket.isOpen() || !call.isOpen || isSilent || call.from >= generation && now < call.holdEndsAt) {
                return;
            }
            call.responseDueAt = call.responseDueAt < 0 ? now + queueDelayMs : call.responseDueAt;
            if (now < call.responseDueAt) {
                return;
            }
            call.isOpen = false;
            call.isWatched = call.holds;
            call.lastResponseAt = now;
            String body = list(generation, call.wantsFullList, call.from < generation ? "draining" : "");
            ResponseMode responseMode = call.broken ? openConnectionMode : mode;
            boolean untilClose = responseMode == ResponseMode.UNTIL_CLOSE
                    || responseMode == ResponseMode.UNTIL_RESET
                    || responseMode == ResponseMode.TRUNCATED_BY_CLOSE;
            String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    + (untilClose ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n";
            byte[] all = (head + body).getBytes(StandardCharsets.ISO_8859_1);
            int length = switch (responseMode) {
                case SILENT, RESET, PIECES, DRIP -> 0;
                case HALF_HEADER -> head.length() / 2;
                case HEADER_ONLY -> head.length();
                case HALF_BODY, TRUNCATED_BY_CLOSE -> head.length() + body.length() / 2;
                case COMPLETE, UNTIL_CLOSE, UNTIL_RESET -> all.length;
            };
            if (responseMode == ResponseMode.PIECES || responseMode == ResponseMode.DRIP) {
                call.remaining = all;
                call.drips = responseMode == ResponseMode.DRIP;
            }
            write(call, java.util.Arrays.copyOf(all, length));
            if (responseMode == ResponseMode.UNTIL_RESET) {
                // The list has to be read before the reset arrives.
                loop.runNow();
                call.socket.setOption(java.net.StandardSocketOptions.SO_LINGER, 0);
            }
            if (untilClose) {
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
