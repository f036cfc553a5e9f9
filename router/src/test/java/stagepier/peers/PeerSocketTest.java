package stagepier.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import stagepier.Api;

/** One router's socket against a simulated router and an unknown sender, over loopback. */
class PeerSocketTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final PeerReport REPORT = PeerReport.plain(List.of(new Api.ServerReport(7, 2, true)));

    private static void send(DatagramSocket from, byte[] bytes, InetSocketAddress to) throws Exception {
        from.send(new DatagramPacket(bytes, bytes.length, to));
    }

    private static InetSocketAddress addressOf(DatagramSocket socket) {
        return new InetSocketAddress(LOOPBACK, socket.getLocalPort());
    }

    /** In a large fleet the event loop must not wake up for every message. */
    @Test
    void messagesOfManyRoutersAreReadInBatches() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        InetSocketAddress here;
        try (DatagramSocket free = new DatagramSocket(0, LOOPBACK)) {
            here = addressOf(free);
        }
        try (DatagramSocket peer = new DatagramSocket(0, LOOPBACK)) {
            peer.setSoTimeout(10_000);
            List<InetSocketAddress> routers = new ArrayList<>(List.of(here, addressOf(peer)));
            while (routers.size() < PeerSocket.MIN_ROUTERS_FOR_BATCHES) {
                routers.add(new InetSocketAddress(LOOPBACK, routers.size()));
            }
            BlockingQueue<PeerReport> received = new LinkedBlockingQueue<>();
            PeerSocket socket = new PeerSocket(
                    loop,
                    new PeerSocket.Addresses(here, addressOf(peer), routers, 0),
                    (from, report) -> received.add(report));
            socket.start();
            // Repeated until one is received, because the socket is bound asynchronously.
            loop.scheduleAtFixedRate(() -> socket.send(PeerReportCodec.encode(REPORT)), 1, 20, TimeUnit.MILLISECONDS);
            peer.receive(new DatagramPacket(new byte[1], 1));
            List<PeerReport> sent = new ArrayList<>();
            for (int server = 1; server <= 10; server++) {
                sent.add(PeerReport.plain(List.of(new Api.ServerReport(server, server, false))));
                send(peer, PeerReportCodec.encode(sent.get(server - 1)), here);
            }
            // Meanwhile the event loop polls for input at least once.
            loop.schedule(() -> {}, 5, TimeUnit.MILLISECONDS).get(10, TimeUnit.SECONDS);
            assertTrue(received.isEmpty(), "nothing is received before the next batch");
            loop.submit(socket::readBatch).get(10, TimeUnit.SECONDS);
            assertEquals(sent, List.copyOf(received), "all in the turn of the event loop in which the batch is read");
            received.clear();
            send(peer, PeerReportCodec.encode(REPORT), here);
            loop.schedule(() -> {}, 5, TimeUnit.MILLISECONDS).get(10, TimeUnit.SECONDS);
            assertTrue(received.isEmpty(), "nothing is received before the following batch");
            loop.submit(socket::stop).get(10, TimeUnit.SECONDS);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    @Test
    void onlyCompleteMessagesOfOtherRoutersAreReceived() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        InetSocketAddress here;
        try (DatagramSocket free = new DatagramSocket(0, LOOPBACK)) {
            here = addressOf(free);
        }
        try (DatagramSocket peer = new DatagramSocket(0, LOOPBACK);
                DatagramSocket unknownSender = new DatagramSocket(0, LOOPBACK)) {
            peer.setSoTimeout(10_000);
            BlockingQueue<Map.Entry<Integer, PeerReport>> received = new LinkedBlockingQueue<>();
            PeerSocket socket = new PeerSocket(
                    group.next(),
                    new PeerSocket.Addresses(here, addressOf(peer), List.of(here, addressOf(peer)), 0),
                    (from, report) -> received.add(Map.entry(from, report)));
            socket.start();
            // Repeated until one is received: the socket is bound asynchronously, and a datagram may be lost.
            byte[] bytes = new byte[PeerReportCodec.MAX_BYTES + 1];
            DatagramPacket packet = new DatagramPacket(bytes, bytes.length);
            group.next()
                    .scheduleAtFixedRate(
                            () -> socket.send(PeerReportCodec.encode(REPORT)), 1, 20, TimeUnit.MILLISECONDS);
            peer.receive(packet);
            assertEquals(REPORT, PeerReportCodec.decode(java.util.Arrays.copyOf(bytes, packet.getLength())));

            send(unknownSender, PeerReportCodec.encode(REPORT), here);
            send(peer, new byte[] {9, 9}, here);
            send(peer, new byte[PeerReportCodec.MAX_BYTES * 2], here);
            send(peer, PeerReportCodec.encode(REPORT), here);
            assertEquals(Map.entry(1, REPORT), received.poll(10, TimeUnit.SECONDS));
            Map<String, Long> counts = group.next()
                    .submit(() -> {
                        Map<String, Long> all = new HashMap<>();
                        socket.count(all::put);
                        socket.stop();
                        return all;
                    })
                    .get(10, TimeUnit.SECONDS);
            assertEquals(1, counts.get("peer_messages_strange"));
            assertEquals(2, counts.get("peer_messages_malformed"));
            assertEquals(1, counts.get("peer_messages_heard"));
            assertEquals(35 * counts.get("peer_messages_sent"), counts.get("peer_bytes_sent"));
            assertEquals(35 + 30 + 28 + PeerReportCodec.MAX_BYTES + 1 + 35, counts.get("peer_bytes_heard"));
            assertTrue(received.isEmpty());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }
}
