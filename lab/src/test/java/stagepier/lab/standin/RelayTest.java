package stagepier.lab.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.EnumSet;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.lab.model.Randoms;
import stagepier.lab.nemesis.Link;
import stagepier.lab.nemesis.LinkFault;
import stagepier.lab.nemesis.LinkFault.Shape;
import stagepier.lab.nemesis.Nemesis;
import stagepier.lab.scenario.ScenarioReader;

/** Both relays over loopback, with two plain sockets at their ends. */
@Timeout(20)
class RelayTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final LabClock clock = new LabClock();
    private Nemesis nemesis;
    private SharedState world;

    @BeforeEach
    void begin() throws Exception {
        nemesis = new Nemesis(new Randoms(3), List.of());
        nemesis.starts(0);
        world = new SharedState(
                loop, clock, new Recorder(), ScenarioReader.parse("test", "[fleet]\nrouters = 2\n"), new Randoms(3));
    }

    @AfterEach
    void end() {
        group.shutdownGracefully();
    }

    /** From now on, on the event loop, as a command line would. */
    private void set(Shape shape, double lasts, double part, double delay) throws Exception {
        loop.submit(() -> nemesis.add(new LinkFault(
                        shape,
                        clock.now(),
                        lasts,
                        List.of(0),
                        List.of(),
                        List.of(),
                        EnumSet.allOf(Link.class),
                        part,
                        delay,
                        0,
                        1)))
                .sync();
    }

    private interface Talk {
        void between(Socket near, Socket far) throws Exception;
    }

    private void overARelay(Talk talk) throws Exception {
        ServerSocket target = new ServerSocket(0, 4, LOOPBACK);
        StreamRelay relay = new StreamRelay(world, nemesis, Link.DISCOVERY, 0, Link.AGENT, target.getLocalPort());
        relay.listen();
        try (Socket near = new Socket(LOOPBACK, relay.port());
                Socket far = target.accept()) {
            near.setSoTimeout(5000);
            far.setSoTimeout(5000);
            talk.between(near, far);
        } finally {
            relay.close().sync();
            target.close();
        }
    }

    private static int say(Socket from, Socket to, int what) throws IOException {
        from.getOutputStream().write(what);
        return to.getInputStream().read();
    }

    @Test
    void withoutFaultsBothWaysAndTheEndArePassedOn() throws Exception {
        overARelay((near, far) -> {
            assertEquals('a', say(near, far, 'a'));
            assertEquals('b', say(far, near, 'b'));
            near.getOutputStream().write('c');
            near.close();
            assertEquals('c', far.getInputStream().read());
            assertEquals(-1, far.getInputStream().read());
        });
    }

    @Test
    void whatIsHeldComesOnceThePartitionIsOverInOrder() throws Exception {
        overARelay((near, far) -> {
            assertEquals('a', say(near, far, 'a'));
            set(Shape.PARTITION, 0.4, 0, 0);
            double from = clock.now();
            near.getOutputStream().write('b');
            near.getOutputStream().write('c');
            assertEquals('b', far.getInputStream().read());
            assertTrue(clock.now() - from >= 0.35, "held for " + (clock.now() - from));
            assertEquals('c', far.getInputStream().read());
            assertEquals('d', say(far, near, 'd'));
        });
    }

    @Test
    void oneWayHoldsOneWayOnlyAndDelaysAreDelays() throws Exception {
        overARelay((near, far) -> {
            set(Shape.ONE_WAY, 0.5, 0, 0);
            double from = clock.now();
            assertEquals('a', say(far, near, 'a'));
            assertTrue(clock.now() - from < 0.4, "the other way is open");
            assertEquals('b', say(near, far, 'b'));
            assertTrue(clock.now() - from >= 0.45);
            set(Shape.SLOW, 60, 0, 0.3);
            from = clock.now();
            assertEquals('c', say(near, far, 'c'));
            assertTrue(clock.now() - from >= 0.3);
        });
    }

    @Test
    void aCutBreaksBothEndsInTheMiddleOfAMessage() throws Exception {
        overARelay((near, far) -> {
            set(Shape.CUT, 60, 1, 0);
            near.getOutputStream().write(new byte[100]);
            int came = 0;
            try {
                while (far.getInputStream().read() >= 0) {
                    came++;
                }
            } catch (IOException e) {
                assertTrue(came <= 50, "reset");
            }
            assertTrue(came < 100, came + " of 100 bytes came");
            assertThrows(IOException.class, () -> {
                while (near.getInputStream().read() >= 0) {
                    Thread.onSpinWait();
                }
                throw new IOException("ended");
            });
        });
    }

    /** A connection that ends in the same moment must not be touched by two threads at once. */
    @Test
    void closingIsDoneByTheEventLoopAndByNoOtherThread() throws Exception {
        try (ServerSocket target = new ServerSocket(0, 4, LOOPBACK)) {
            StreamRelay relay = new StreamRelay(world, nemesis, Link.DISCOVERY, 0, Link.AGENT, target.getLocalPort());
            relay.listen();
            try (Socket near = new Socket(LOOPBACK, relay.port());
                    Socket far = target.accept()) {
                assertEquals('a', say(near, far, 'a'));
                CountDownLatch held = new CountDownLatch(1);
                CountDownLatch isHeld = new CountDownLatch(1);
                loop.execute(() -> {
                    isHeld.countDown();
                    awaitQuietly(held);
                });
                isHeld.await();
                Future<?> closed = relay.close();
                assertFalse(closed.isDone(), "nothing has been closed while the event loop is held");
                held.countDown();
                closed.sync();
                assertThrows(IOException.class, () -> {
                    near.setSoTimeout(5000);
                    if (near.getInputStream().read() < 0) {
                        throw new IOException("ended");
                    }
                });
            }
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void eachMessageIsKnownByWhenItsFirstByteWentOff() {
        SentTimes sent = new SentTimes();
        sent.sent(7, 10, 1);
        sent.sent(7, 5, 2);
        assertEquals(
                List.of(1.0, 1.0, 2.0, 2.0),
                List.of(sent.at(7, 0, 9), sent.at(7, 9, 9), sent.at(7, 10, 9), sent.at(7, 14, 9)));
        assertEquals(9, sent.at(8, 0, 9), "no relay there");
        sent.opened(7);
        sent.sent(7, 3, 4);
        assertEquals(4, sent.at(7, 0, 9), "another connection from the same port");
    }

    private static void tell(DatagramSocket from, int port, int what) throws IOException {
        from.send(new DatagramPacket(new byte[] {(byte) what}, 1, LOOPBACK, port));
    }

    /** What is heard next, as sender's port and byte; null for nothing in a while. */
    private static String hear(DatagramSocket at, int waitMs) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[16], 16);
        at.setSoTimeout(waitMs);
        try {
            at.receive(packet);
            return packet.getPort() + ":" + packet.getData()[0];
        } catch (SocketTimeoutException e) {
            return null;
        }
    }

    @Test
    void datagramsComeFromTheirSendersDoorOnceTwiceOrNever() throws Exception {
        try (DatagramSocket zero = new DatagramSocket(0, LOOPBACK);
                DatagramSocket one = new DatagramSocket(0, LOOPBACK);
                DatagramSocket stranger = new DatagramSocket(0, LOOPBACK)) {
            DatagramRelay relay =
                    new DatagramRelay(world, nemesis, new int[] {zero.getLocalPort(), one.getLocalPort()});
            relay.listen();
            tell(zero, relay.door(0, 1), 5);
            assertEquals(relay.door(1, 0) + ":5", hear(one, 5000));
            tell(zero, relay.toAll(0), 6);
            assertEquals(relay.door(1, 0) + ":6", hear(one, 5000));
            tell(stranger, relay.door(0, 1), 7);
            set(Shape.ONE_WAY, 60, 0, 0);
            tell(zero, relay.door(0, 1), 8);
            tell(one, relay.door(1, 0), 9);
            assertEquals(
                    relay.door(0, 1) + ":9",
                    hear(zero, 5000),
                    "the other way is open, and all before it was dealt with");
            assertEquals(null, hear(one, 50), "neither the stranger nor who is silenced is heard");
            relay.close();
        }
    }
}
