package stagepier.lab.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketProtocolFamily;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import stagepier.lab.nemesis.Link;
import stagepier.lab.nemesis.Nemesis;

/**
 * All datagrams from router to router. For each router it has an address for each other one, to which the router sends and from
 * which it hears that other, and one that goes to all: what a platform gives. On the stand-ins' event loop.
 */
final class DatagramRelay {
    private final SharedState world;
    private final Nemesis nemesis;
    private final int[] ports;
    /** By receiver and then sender. */
    private final Channel[][] doors;

    private final List<Channel> toAll = new ArrayList<>();
    private long sent;
    private long delivered;

    /** @param ports where each router listens for others */
    DatagramRelay(SharedState world, Nemesis nemesis, int[] ports) {
        this.world = world;
        this.nemesis = nemesis;
        this.ports = ports.clone();
        doors = new Channel[ports.length][ports.length];
    }

    /** Waits; not on the event loop. */
    void listen() throws InterruptedException {
        for (int router = 0; router < ports.length; router++) {
            for (int other = 0; other < ports.length; other++) {
                int to = other;
                doors[router][other] = open(router, bytes -> pass(bytes, to));
            }
            toAll.add(open(router, this::passToAll));
        }
    }

    /** What a router has sent. */
    private record Said(int from, byte[] bytes) {}

    private Channel open(int router, java.util.function.Consumer<Said> then) throws InterruptedException {
        return new Bootstrap()
                .group(world.loop())
                .channelFactory(() -> new NioDatagramChannel(SocketProtocolFamily.INET))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        // Each address is reserved for one router: nobody else is heard there.
                        if (packet.sender().getPort() == ports[router]) {
                            sent++;
                            ByteBuf content = packet.content();
                            byte[] bytes = new byte[content.readableBytes()];
                            content.readBytes(bytes);
                            then.accept(new Said(router, bytes));
                        }
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        // A router that is down refuses datagrams, which is told to who sent last: they are lost, and
                        // that is all.
                        ctx.fireChannelReadComplete();
                    }
                })
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
    }

    private void passToAll(Said said) {
        for (int to = 0; to < ports.length; to++) {
            if (to != said.from()) {
                pass(said, to);
            }
        }
    }

    private void pass(Said said, int to) {
        double now = world.clock().now();
        for (double late : nemesis.deliveries(Link.PEERS, said.from(), to, now)) {
            if (late <= 0) {
                deliver(said, to);
            } else {
                world.at(now + late, () -> deliver(said, to));
            }
        }
    }

    private void deliver(Said said, int to) {
        delivered++;
        Channel door = doors[to][said.from()];
        door.writeAndFlush(
                new DatagramPacket(Unpooled.wrappedBuffer(said.bytes()), new InetSocketAddress("127.0.0.1", ports[to])),
                door.voidPromise());
    }

    int port(int router) {
        return ports[router];
    }

    /** Where a router hears of another, and tells it. */
    int door(int router, int other) {
        return port(doors[router][other]);
    }

    /** Where a router tells all others. */
    int toAll(int router) {
        return port(toAll.get(router));
    }

    private static int port(Channel channel) {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    long sent() {
        return sent;
    }

    /** Copies that were passed on. */
    long delivered() {
        return delivered;
    }

    void close() {
        toAll.forEach(Channel::close);
        for (Channel[] of : doors) {
            for (Channel door : of) {
                if (door != null) {
                    door.close();
                }
            }
        }
    }
}
