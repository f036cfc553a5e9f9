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
 * Sends and receives the datagrams between routers; owns their one socket. Datagrams from unknown addresses and
 * malformed ones are counted and dropped. Routers also serve without this socket: if it cannot be bound, the failure is
 * logged and retried.
 */
public final class PeerSocket {
    private static final Logger LOG = LoggerFactory.getLogger(PeerSocket.class);

    /**
     * Number of routers from which on messages are read in batches. In fleets of that size each router receives some 25
     * to 65 messages a second from the others, and waking the event loop for every single one takes more processor time
     * than reading it.
     */
    static final int MIN_ROUTERS_FOR_BATCHES = 50;

    private static final int MAX_BATCH_MESSAGES = 64;

    /** Receives the reports of other routers. */
    @FunctionalInterface
    public interface Listener {
        /** @param peer number of the router that sent the report */
        void reported(int peer, PeerReport report);
    }

    /**
     * The addresses of the routers.
     *
     * @param listen  local address on which this router receives
     * @param all     destination that reaches every router
     * @param routers one address for each router, in the order of their numbers; reports have to be sent from these
     * @param own     number of this router
     */
    public record Addresses(
            InetSocketAddress listen, InetSocketAddress all, List<InetSocketAddress> routers, int own) {}

    private final EventLoop loop;
    private final Addresses addresses;
    private final Listener listener;
    private final Map<InetSocketAddress, Integer> routerNumbers = new HashMap<>();
    private final RetryingBind bind;
    private final boolean batched;
    private long sent;
    private long received;
    private long unknownSenders;
    private long malformed;
    private long bytesSent;
    private long bytesReceived;

    public PeerSocket(EventLoop loop, Addresses addresses, Listener listener) {
        this.loop = loop;
        this.addresses = addresses;
        this.listener = listener;
        batched = addresses.routers().size() >= MIN_ROUTERS_FOR_BATCHES;
        bind = new RetryingBind(
                loop,
                this::bind,
                cause -> LOG.warn(
                        "cannot bind the UDP socket for peer reports: {}; retrying, serving without them",
                        cause.getMessage()));
        for (int i = 0; i < addresses.routers().size(); i++) {
            routerNumbers.put(addresses.routers().get(i), i);
        }
    }

    /** Binds the socket, with retries until that succeeds. */
    public void start() {
        bind.start();
    }

    private ChannelFuture bind() {
        return new Bootstrap()
                .group(loop)
                .channelFactory(Sockets.datagrams())
                // One byte more than the maximum: a datagram that fills the buffer was too long and is malformed.
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(PeerReportCodec.MAX_BYTES + 1)
                                .maxMessagesPerRead(batched ? MAX_BATCH_MESSAGES : 1))
                .option(ChannelOption.AUTO_READ, !batched)
                .handler(new Inbound())
                .bind(addresses.listen());
    }

    public void stop() {
        bind.stop();
    }

    /**
     * Reads the messages that have arrived since the last call, if they are read in batches. To be called at each
     * heartbeat.
     */
    public void readBatch() {
        Channel channel = bind.channel();
        if (batched && channel != null && channel.isActive()) {
            // A channel without auto-read reads one message at a time. Auto-read is on until all pending messages have
            // been read.
            channel.config().setAutoRead(true);
            if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
                // Reads directly, because waiting for the selector takes further turns of the event loop.
                unsafe.read();
            }
        }
    }

    /** Sends a message to all other routers; it may be lost. */
    public void send(byte[] message) {
        Channel channel = bind.channel();
        if (channel != null && channel.isActive()) {
            sent++;
            bytesSent += message.length + ReportSchedule.DATAGRAM_HEADER_BYTES;
            channel.writeAndFlush(
                    new DatagramPacket(Unpooled.wrappedBuffer(message), addresses.all()), channel.voidPromise());
        }
    }

    private final class Inbound extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            bytesReceived += packet.content().readableBytes() + ReportSchedule.DATAGRAM_HEADER_BYTES;
            Integer peer = routerNumbers.get(packet.sender());
            if (peer == null || peer == addresses.own()) {
                unknownSenders += peer == null ? 1 : 0;
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

        /** Logs a failed send; the message is lost. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.debug("peer report not sent: {}", cause.toString());
        }
    }

    public void count(ObjLongConsumer<String> to) {
        to.accept("peer_messages_sent", sent);
        to.accept("peer_messages_heard", received);
        to.accept("peer_messages_strange", unknownSenders);
        to.accept("peer_messages_malformed", malformed);
        to.accept("peer_bytes_sent", bytesSent);
        to.accept("peer_bytes_heard", bytesReceived);
    }
}
