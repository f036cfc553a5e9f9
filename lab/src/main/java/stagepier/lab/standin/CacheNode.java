package stagepier.lab.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import stagepier.lab.ledger.Event;
import stagepier.lab.model.NodeModel;
import stagepier.lab.model.OriginModel;
import stagepier.lab.scenario.Fault;

/**
 * A cache node on loopback: its model behind sockets, one address for each router, so that it knows who sends. What it
 * does wrong, it does by order of a fault.
 */
final class CacheNode {
    private static final int BACKLOG = 16;

    private final SharedState world;
    private final int number;
    private final NodeModel model;
    private final UniformRandomProvider chance;
    private final int[] ports;
    private final List<Channel> listening = new ArrayList<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** They fill the queue of connections of a machine that is silent, so that further ones hang. */
    private final List<Channel> fillers = new ArrayList<>();

    private String id;
    private boolean running = true;
    private boolean silent;
    private boolean hanging;
    private boolean full;
    private Fault.Kind spoils;
    private double spoiltPart;
    /** Whether a shadow's copies are answered wrongly here, and by how many seconds late. */
    private boolean copiesWrong;

    private double copiesLate;
    /** What was begun before the last start is of no consequence. */
    private int process;

    private long opened;
    private long turnedAway;
    private int connectionsPeak;

    CacheNode(SharedState world, int number, NodeModel model, UniformRandomProvider chance, int routers) {
        this.world = world;
        this.number = number;
        this.model = model;
        this.chance = chance;
        ports = new int[routers];
        id = "s-%08x".formatted(0x10000 + number * 0x3f1d);
    }

    NodeModel model() {
        return model;
    }

    int number() {
        return number;
    }

    String id() {
        return id;
    }

    int port(int router) {
        return ports[router];
    }

    boolean isRunning() {
        return running && !silent;
    }

    boolean isFull() {
        return full;
    }

    int connections() {
        return connections.size();
    }

    int connectionsPeak() {
        return connectionsPeak;
    }

    long opened() {
        return opened;
    }

    long turnedAway() {
        return turnedAway;
    }

    /** Listens, on the ports that it had before if it had any. Waits; not on the event loop. */
    void listen() throws InterruptedException {
        for (int router = 0; router < ports.length; router++) {
            Channel channel = bind(router).sync().channel();
            ports[router] = ((InetSocketAddress) channel.localAddress()).getPort();
            listening.add(channel);
        }
    }

    private io.netty.channel.ChannelFuture bind(int router) {
        return new ServerBootstrap()
                .group(world.loop())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new MetaDecoder(world.clock(), world.sent()), new Connection(router));
                    }
                })
                .bind("127.0.0.1", ports[router]);
    }

    // ---- what befalls it; on the event loop ---------------------------------------------------------------
    /** The process dies: its connections are reset, new ones refused. */
    void crash() {
        running = false;
        process++;
        listening.forEach(Channel::close);
        listening.clear();
        resetAll();
    }

    /** The machine goes silent: nothing is said, connects hang. */
    void vanish() {
        silent = true;
        process++;
        connections.forEach(c -> c.channel.config().setAutoRead(false));
        listening.forEach(l -> l.config().setAutoRead(false));
        for (int port : ports) {
            for (int i = 0; i <= BACKLOG + 1; i++) {
                fillers.add(new Bootstrap()
                        .group(world.loop())
                        .channel(NioSocketChannel.class)
                        .handler(new ChannelInboundHandlerAdapter())
                        .connect("127.0.0.1", port)
                        .channel());
            }
        }
    }

    /** A new process, cold. */
    void comeBack() {
        process++;
        model.restart(world.clock().now());
        resetAll();
        fillers.forEach(Channel::close);
        fillers.clear();
        if (silent) {
            listening.forEach(l -> l.config().setAutoRead(true));
        } else if (listening.isEmpty()) {
            for (int router = 0; router < ports.length; router++) {
                bind(router).addListener((ChannelFutureListener) f -> {
                    if (f.isSuccess()) {
                        listening.add(f.channel());
                    } else {
                        world.recorder()
                                .add(new Event.UnexpectedLine(
                                        world.clock().now(),
                                        -1,
                                        "node " + number + " of the lab cannot listen again: "
                                                + f.cause().getMessage()));
                    }
                });
            }
        }
        running = true;
        silent = false;
        hanging = false;
        full = false;
    }

    /** As {@link #comeBack}, as another machine at the same address. */
    void comeBackAs(String newId) {
        id = newId;
        comeBack();
    }

    void hang(boolean hangs) {
        hanging = hangs;
        if (!hangs) {
            // What it took meanwhile will never be answered.
            resetAll();
            model.restart(Double.NEGATIVE_INFINITY);
        }
    }

    void full(boolean turnsAway) {
        full = turnsAway;
    }

    /** From now on that part of its answers is spoilt in that way; null for none. */
    void spoil(Fault.Kind how, double part) {
        spoils = how;
        spoiltPart = part;
    }

    /** What it does to copies of a shadow, and to nothing else. */
    void copies(boolean wrong, double late) {
        copiesWrong = wrong;
        copiesLate = late;
    }

    /** That part of its connections falls silent for good; the others go on. */
    void mute(double part) {
        connections.stream().filter(c -> chance.nextDouble() < part).forEach(c -> c.muted = true);
    }

    private void resetAll() {
        List<Connection> all = new ArrayList<>(connections);
        connections.clear();
        all.forEach(Connection::reset);
    }

    void close() {
        listening.forEach(Channel::close);
        fillers.forEach(Channel::close);
        resetAll();
    }

    /** One connection; its answers go in the order of its requests. */
    private final class Connection extends SimpleChannelInboundHandler<MetaDecoder.Message> {
        private final int router;
        private final ArrayDeque<byte[][]> owed = new ArrayDeque<>();
        private Channel channel;
        private boolean muted;
        private boolean tooMany;
        private double readyAt;

        Connection(int router) {
            this.router = router;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            opened++;
            tooMany = connections.size() >= model.traits().connections();
            connections.add(this);
            connectionsPeak = Math.max(connectionsPeak, connections.size());
            readyAt = model.work(world.clock().now(), model.traits().handshake());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        private void reset() {
            try {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            } catch (ChannelException e) {
                // The other side was quicker: there is nothing left to reset.
                channel.close();
                return;
            }
            channel.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaDecoder.Message m) {
            byte[][] slot = new byte[1][];
            owed.add(slot);
            if (m.line().equals("mn")) {
                answer(slot, "MN\r\n");
                return;
            }
            int kind = world.kind(m.attribute("c"));
            String request = m.flag('O');
            boolean isWrite = m.line().startsWith("ms ");
            if (kind < 0 || request.isEmpty() || !isWrite && !m.line().startsWith("mg ")) {
                world.recorder()
                        .add(new Event.UnexpectedLine(world.clock().now(), router, "to a cache node: " + m.line()));
                answer(slot, "CLIENT_ERROR bad command\r\n");
                return;
            }
            take(slot, m, kind, Copies.number(request), isWrite);
        }

        private void take(byte[][] slot, MetaDecoder.Message m, int kind, long request, boolean isWrite) {
            double now = world.clock().now();
            double work = world.workOf(kind);
            // What it is sent counts, also what it turns away.
            if (!hanging && model.pushedOver(now, work)) {
                world.recorder().add(new Event.Arrived(now, m.firstByteAt(), request, router, number, false));
                world.recorder().add(new Event.NodeOverloaded(now, number));
                crash();
                world.at(now + model.traits().down(), CacheNode.this::comeBack);
                return;
            }
            boolean runs = !full && !tooMany && model.hold();
            world.recorder().add(new Event.Arrived(now, m.firstByteAt(), request, router, number, runs));
            if (!runs) {
                turnedAway++;
                answer(slot, "SERVER_ERROR busy\r\n");
                return;
            }
            if (hanging) {
                return;
            }
            int of = process;
            long key = Long.parseUnsignedLong(m.words()[1], 16);
            double late = Copies.is(request) ? copiesLate : 0;
            world.at(model.work(Math.max(now, readyAt), work) + late, () -> {
                if (of == process) {
                    worked(of, slot, m, kind, request, key, isWrite);
                }
            });
        }

        /** The work here is done; what is not kept comes from the origin. */
        private void worked(
                int of, byte[][] slot, MetaDecoder.Message m, int kind, long request, long key, boolean isWrite) {
            long copy = isWrite ? -1 : model.copy(key);
            String idempotencyKey = m.attribute("k");
            long before = isWrite
                    ? world.alreadyDone(
                            idempotencyKey, world.scenario().kinds().get(kind).dedupWindow())
                    : 0;
            if (copy >= 0) {
                value(slot, m, key, request, copy, "h1");
            } else if (before > 0) {
                receipt(slot, request, before);
            } else {
                double done = world.fetch(
                        isWrite
                                ? OriginModel.Cause.WRITE
                                : model.isCold(world.clock().now())
                                        ? OriginModel.Cause.COLD_NODE
                                        : world.version(key) > 0
                                                ? OriginModel.Cause.VOID
                                                : OriginModel.Cause.PLAIN_MISS);
                if (Double.isNaN(done)) {
                    model.release();
                    answer(slot, "SERVER_ERROR failed\r\n");
                    return;
                }
                long version = world.version(key);
                world.at(done, () -> {
                    if (isWrite) {
                        // Carried out at the origin whatever becomes of this node.
                        world.changed(key);
                        long serial = world.done(idempotencyKey);
                        if (of == process) {
                            receipt(slot, request, serial);
                        }
                    } else if (of == process) {
                        if (version == world.version(key)) {
                            model.keep(key, version);
                        }
                        value(slot, m, key, request, version, "h0");
                    }
                });
            }
        }

        private void value(byte[][] slot, MetaDecoder.Message m, long key, long request, long version, String hit) {
            model.release();
            // A shadow compares values, which are then those of the key; otherwise each is made for its request only.
            String text = "%016x.%d.".formatted(world.scenario().hasShadow() ? key : request, version);
            if (copiesWrong && Copies.is(request)) {
                text = "wrong." + text;
            }
            String body = text + "x".repeat(Math.max(0, world.scenario().value() - text.length()));
            world.recorder().add(new Event.AnswerMade(world.clock().now(), request, number, Tokens.of(body)));
            answer(
                    slot,
                    "VA %d O%s %s\r\n%s\r\n"
                            .formatted(
                                    body.length(),
                                    Copies.is(request) ? m.flag('O') : "%016x".formatted(request),
                                    hit,
                                    body));
        }

        private void receipt(byte[][] slot, long request, long serial) {
            model.release();
            String receipt = "%x.%x".formatted(request, serial);
            world.recorder().add(new Event.AnswerMade(world.clock().now(), request, number, Tokens.of(receipt)));
            answer(slot, "HD O%016x c%s\r\n".formatted(request, receipt));
        }

        private void answer(byte[][] slot, String text) {
            slot[0] = text.getBytes(StandardCharsets.ISO_8859_1);
            while (!owed.isEmpty() && owed.peek()[0] != null) {
                write(owed.remove()[0]);
            }
        }

        private void write(byte[] bytes) {
            if (muted || silent || !channel.isActive()) {
                return;
            }
            if (spoils == null || chance.nextDouble() >= spoiltPart) {
                channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
                return;
            }
            byte[] half = java.util.Arrays.copyOf(bytes, bytes.length / 2);
            switch (spoils) {
                case RESET ->
                    channel.writeAndFlush(Unpooled.wrappedBuffer(half)).addListener(f -> reset());
                case HALF -> {
                    channel.writeAndFlush(Unpooled.wrappedBuffer(half));
                    muted = true;
                }
                default -> {
                    String[] noises = {
                        "VA 3000000000 Ox h1\r\n",
                        "\u0001\u0002\r\n",
                        "HD O0000000000000000 cbad\r\n",
                        "VA -1 O0 h1\r\n"
                    };
                    channel.writeAndFlush(Unpooled.wrappedBuffer(
                            noises[chance.nextInt(noises.length)].getBytes(StandardCharsets.ISO_8859_1)));
                    muted = true;
                }
            }
        }
    }
}
