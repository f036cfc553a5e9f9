package stagepier.lab.standin;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import stagepier.lab.ledger.Event;
import stagepier.lab.nemesis.Link;
import stagepier.lab.nemesis.Nemesis;
import stagepier.lab.nemesis.Treatment;

/** One router's agent of discovery, on loopback: the whole list, and a watch that waits for what is newer. */
final class DiscoveryAgent {
    /** A version of one entry. */
    record Entry(String id, int node, String hostPort, String zone, String lifecycle, long startedAtMs) {
        private JsonObject json() {
            JsonObject o = new JsonObject();
            o.addProperty("instanceId", id);
            o.addProperty("hostPort", hostPort);
            o.addProperty("zone", zone);
            o.addProperty("machineType", "m");
            o.addProperty("cell", node);
            o.addProperty("lifecycle", lifecycle);
            o.addProperty("weight", 1.0);
            o.addProperty("startedAtMs", startedAtMs);
            return o;
        }
    }

    private static final double LOOK_AGAIN = 0.01;

    private final World world;
    private final Nemesis nemesis;
    private final int router;
    private final List<Entry> log = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private Channel listening;
    private boolean down;

    /** A watch that waits. */
    private record Waiting(ChannelHandlerContext ctx, int from, double until) {
    }

    DiscoveryAgent(World world, Nemesis nemesis, int router) {
        this.world = world;
        this.nemesis = nemesis;
        this.router = router;
    }

    /** Waits; not on the event loop. */
    void listen() throws InterruptedException {
        listening = new ServerBootstrap().group(world.loop()).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(4096), new Calls());
                    }
                }).bind("127.0.0.1", 0).sync().channel();
    }

    int port() {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    /** Something has changed, and this router's agent has heard of it. On the event loop. */
    void publish(Entry entry) {
        log.add(entry);
        flush();
    }

    void down(boolean isDown) {
        down = isDown;
        flush();
    }

    /** The list as this router has it now, as its configuration tells it after a restart. */
    JsonObject known() {
        return message(log.size(), true, current().values());
    }

    private Map<String, Entry> current() {
        Map<String, Entry> all = new LinkedHashMap<>();
        for (Entry e : log) {
            if (e.lifecycle().equals("removed")) {
                all.remove(e.id());
            } else {
                all.put(e.id(), e);
            }
        }
        return all;
    }

    private static JsonObject message(int generation, boolean reset, Iterable<Entry> entries) {
        JsonObject o = new JsonObject();
        o.addProperty("generation", generation);
        o.addProperty("reset", reset);
        JsonArray instances = new JsonArray();
        entries.forEach(e -> instances.add(e.json()));
        o.add("instances", instances);
        return o;
    }

    private void flush() {
        double now = world.clock().now();
        for (Waiting w : new ArrayList<>(waiting)) {
            if (!w.ctx().channel().isActive()) {
                waiting.remove(w);
            } else if (!down && (w.from() < log.size() || now >= w.until())) {
                waiting.remove(w);
                answer(w.ctx(), message(log.size(), false, log.subList(w.from(), log.size())),
                        log.subList(w.from(), log.size()));
            }
        }
    }

    private void answer(ChannelHandlerContext ctx, JsonObject message, Iterable<Entry> told) {
        byte[] bytes = message.toString().getBytes(StandardCharsets.UTF_8);
        var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                Unpooled.wrappedBuffer(bytes));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length)
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        ctx.writeAndFlush(response);
        List<Entry> news = new ArrayList<>();
        told.forEach(news::add);
        toldOnceHeard(news);
    }

    /** A router has been told of what was written to it once that has come through: nobody can act on what is held up. */
    private void toldOnceHeard(List<Entry> news) {
        double now = world.clock().now();
        Treatment t = nemesis.treatment(Link.DISCOVERY, Link.AGENT, router, now);
        if (t.isSilence()) {
            world.at(now + LOOK_AGAIN, () -> toldOnceHeard(news));
            return;
        }
        double heard = now + t.delay() + t.jitter();
        news.forEach(e -> world.recorder().add(new Event.Told(heard, router, e.node(), e.lifecycle().equals("up"))));
    }

    void close() {
        if (listening != null) {
            listening.close();
        }
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            List<String> from = uri.parameters().getOrDefault("from", List.of());
            int at = from.isEmpty() ? -1 : Integer.parseInt(from.get(0));
            if (at < 0 || at > log.size()) {
                if (down) {
                    return;
                }
                Map<String, Entry> all = current();
                answer(ctx, message(log.size(), true, all.values()), all.values());
                return;
            }
            double hold = Math.min(60, Integer.parseInt(uri.parameters().getOrDefault("hold_ms", List.of("0")).get(0)) / 1e3);
            double until = world.clock().now() + hold;
            waiting.add(new Waiting(ctx, at, until));
            world.at(until + 0.001, DiscoveryAgent.this::flush);
            flush();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
