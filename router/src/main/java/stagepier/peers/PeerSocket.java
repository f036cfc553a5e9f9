package stagepier.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjLongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.link.RetryingBind;
import stagepier.link.Sockets;

/**
 * The datagrams between routers; owns their one socket. What comes from an address that is no router's, or makes no sense,
 * is counted and dropped. Routers serve as well without it: a socket that cannot be had is logged, and that is all.
 */
public final class PeerSocket {
    private static final Logger LOG = LoggerFactory.getLogger(PeerSocket.class);

    /**
     * Routers from which on messages are read in batches. So many send some 25 to 65 messages a second to each, and to wake the event
     * loop for every single one takes more processor time than to read it.
     */
    static final int BATCHED_FROM = 50;

    private static final int BATCH_MOST = 64;

    /** Takes what another router reports. */
    @FunctionalInterface
    public interface Listener {
        /** @param peer the number of the router that reports it */
        void reported(int peer, PeerReport report);
    }

    /**
     * Where routers hear of each other.
     *
     * @param listen where this one is told
     * @param all    what is sent here goes to every router
     * @param routers one address for each, in the order of their numbers; others have to send from these
     * @param own    this router's number
     */
    public record Addresses(
            InetSocketAddress listen, InetSocketAddress all, List<InetSocketAddress> routers, int own) {}

    private final EventLoop loop;
    private final Addresses addresses;
    private final Listener listener;
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private final RetryingBind bind;
    private final boolean batched;
    private long sent;
    private long received;
    private long strange;
    private long malformed;
    private long bytesSent;
    private long bytesHeard;

    public PeerSocket(EventLoop loop, Addresses addresses, Listener listener) {
        this.loop = loop;
        this.addresses = addresses;
        this.listener = listener;
        batched = addresses.routers().size() >= BATCHED_FROM;
        bind = new RetryingBind(
                loop, this::bind, why -> LOG.warn("no word from other routers yet: {}", why.getMessage()));
        for (int i = 0; i < addresses.routers().size(); i++) {
            numbers.put(addresses.routers().get(i), i);
        }
    }

    /** Listens, and tries until it can. */
    public void start() {
        bind.start();
    }

    private ChannelFuture bind() {
        return new Bootstrap()
                .group(loop)
                .channelFactory(Sockets.datagrams())
                // A byte more than the most: what fills it was longer, and is no message.
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(PeerReportCodec.BYTES_MOST + 1)
                                .maxMessagesPerRead(batched ? BATCH_MOST : 1))
                .option(ChannelOption.AUTO_READ, !batched)
                .handler(new Inbound())
                .bind(addresses.listen());
    }

    public void stop() {
        bind.stop();
    }

    /** Reads the messages that have come since the last call, where they are read in batches. To be called at each heartbeat. */
    public void readBatch() {
        Channel channel = bind.channel();
        if (batched && channel != null && channel.isActive()) {
            // A channel that does not read by itself reads one message at a time: it may until all that have come are
            // read.
            channel.config().setAutoRead(true);
            if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
                // At once: to be told of the input by the selector takes further turns of the event loop.
                unsafe.read();
            }
        }
    }

    /** Sends a message to all other routers; may be lost. */
    public void send(byte[] message) {
        Channel channel = bind.channel();
        if (channel != null && channel.isActive()) {
            sent++;
            bytesSent += message.length + ReportSchedule.DATAGRAM_HEADERS;
            channel.writeAndFlush(
                    new DatagramPacket(Unpooled.wrappedBuffer(message), addresses.all()), channel.voidPromise());
        }
    }

    private final class Inbound extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            bytesHeard += packet.content().readableBytes() + ReportSchedule.DATAGRAM_HEADERS;
            Integer peer = numbers.get(packet.sender());
            if (peer == null || peer == addresses.own()) {
                strange += peer == null ? 1 : 0;
                return;
            }
            PeerReport report;
            try {
                report = PeerReportCodec.decode(ByteBufUtil.getBytes(packet.content()));
            } catch (IllegalArgumentException e) {
                malformed++;
                return;
            }
            received++;
            listener.reported(peer, report);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (batched) {
                ctx.channel().config().setAutoRead(false);
            }
        }

        /** A send that failed is a message lost. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.debug("peers: {}", cause.toString());
        }
    }

    public void count(ObjLongConsumer<String> to) {
        to.accept("peer_messages_sent", sent);
        to.accept("peer_messages_heard", received);
        to.accept("peer_messages_strange", strange);
        to.accept("peer_messages_malformed", malformed);
        to.accept("peer_bytes_sent", bytesSent);
        to.accept("peer_bytes_heard", bytesHeard);
    }
}
