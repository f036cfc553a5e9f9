package stagepier.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.lab.model.Randoms;
import stagepier.lab.standin.LabClock;
import stagepier.lab.standin.PeerAddresses;

/** Reports on their way, with plain sockets in the place of router processes. */
@Timeout(30)
class ReportFanOutTest {
    private static final int REAL = 2;
    private static final int ROUTERS = 1900;
    private static final int WAIT_MS = 10_000;
    private static final byte[] EMPTY = {1, 0};

    private static InetSocketAddress address(String text) {
        String[] parts = text.split(":");
        return new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
    }

    private static DatagramPacket receive(DatagramSocket at) throws Exception {
        DatagramPacket packet =
                new DatagramPacket(new byte[LoadReportModel.BYTES_MOST + 1], LoadReportModel.BYTES_MOST + 1);
        at.setSoTimeout(WAIT_MS);
        at.receive(packet);
        return packet;
    }

    private static DatagramSocket bound(String address) throws Exception {
        return new DatagramSocket(address(address));
    }

    @Test
    void eachRouterIsHeardFromItsOwnAddressAndWhatAProcessTellsReachesTheOthers() throws Exception {
        LabClock clock = new LabClock();
        CountDownLatch passedOn = new CountDownLatch(1);
        try (ReportFanOut fanOut =
                new ReportFanOut(clock, REAL, ROUTERS, (sender, at, report) -> passedOn.countDown())) {
            PeerAddresses addresses = fanOut.addresses();
            assertEquals(ROUTERS, new HashSet<>(addresses.routers()).size());
            assertTrue(addresses.routers().stream()
                    .allMatch(a -> address(a).getAddress().isLoopbackAddress()));
            try (DatagramSocket zero = bound(addresses.listen().get(0));
                    DatagramSocket one = bound(addresses.listen().get(1))) {
                fanOut.start(new ReportSchedule(List.of()));
                zero.send(new DatagramPacket(
                        EMPTY, EMPTY.length, address(addresses.all().get(0))));
                DatagramPacket heard = receive(one);
                assertEquals(address(addresses.routers().get(0)), heard.getSocketAddress());
                assertEquals(EMPTY.length, heard.getLength());
                // A datagram can be read before the thread that sent it has counted it.
                assertTrue(passedOn.await(WAIT_MS, TimeUnit.MILLISECONDS), "counted once it was passed on");
                int datagram = EMPTY.length + LoadReportModel.DATAGRAM_HEADERS;
                assertEquals(new ReportTraffic(0, 0, datagram, 1), fanOut.traffic(0));
                assertEquals(new ReportTraffic(datagram, 1, 0, 0), fanOut.traffic(1));
            }
        }
    }

    @Test
    void hollowRoutersAreHeardAtTheirPace() throws Exception {
        LabClock clock = new LabClock();
        try (ReportFanOut fanOut = new ReportFanOut(clock, 1, ROUTERS, ReportListener.NONE)) {
            PeerAddresses addresses = fanOut.addresses();
            try (DatagramSocket zero = bound(addresses.listen().get(0))) {
                zero.setReceiveBufferSize(1 << 20);
                fanOut.start(new ReportSchedule(ScaleRun.hollow(
                        ReportPacing.EVERY, 1, ROUTERS, new int[] {1, 2, 3}, new Randoms(3), clock.now())));
                Set<InetSocketAddress> senders = new HashSet<>();
                // Within a gap each has sent once; the least of which a busy machine still gets here is a part of them.
                while (senders.size() < ROUTERS / 2) {
                    DatagramPacket packet = receive(zero);
                    senders.add((InetSocketAddress) packet.getSocketAddress());
                    SentReport report = new SentReport(0, Arrays.copyOf(packet.getData(), packet.getLength()));
                    assertTrue(report.loads() != null, "a whole report");
                }
                Set<InetSocketAddress> known = new HashSet<>();
                addresses.routers().subList(1, ROUTERS).forEach(a -> known.add(address(a)));
                assertTrue(known.containsAll(senders));
                assertTrue(fanOut.pace().planned() >= senders.size());
            }
        }
    }

    @Test
    void aRunIsLateOnlyWhereMoreThanAFewOfItsReportsWere() {
        assertTrue(new ReportPace(1000, 10).isKept());
        assertEquals(new ReportPace(1000, 11), new ReportPace(1500, 12).since(new ReportPace(500, 1)));
        assertTrue(!new ReportPace(1000, 11).isKept());
    }
}
