package stagepier.lab.standin;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import stagepier.lab.model.Randoms;
import stagepier.lab.nemesis.Link;
import stagepier.lab.nemesis.Nemesis;
import stagepier.lab.scenario.Scenario;

/** What the relay of a connection itself costs: round trips of one byte, with no fault set, beside those of a direct link. */
public final class RelayCost {
    /** Microseconds of round trips. */
    public record Cost(Histogram direct, Histogram relayed) {}

    private static final long HIGHEST_US = 10_000_000;

    private RelayCost() {}

    /**
     * Measures both in turn, so that whatever else the machine does weighs on both alike.
     *
     * @param scenario any; its faults between processes are not used
     * @throws IOException where a link breaks
     */
    public static Cost measure(Scenario scenario, int roundTrips) throws IOException, InterruptedException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        try (ServerSocket echo = new ServerSocket(0, 4, InetAddress.getByName("127.0.0.1"))) {
            Thread server = new Thread(() -> answer(echo), "echo");
            server.setDaemon(true);
            server.start();
            Randoms randoms = new Randoms(1);
            SharedState world = new SharedState(loop, new LabClock(), new Recorder(), scenario, randoms);
            StreamRelay relay = new StreamRelay(
                    world, new Nemesis(randoms, List.of()), Link.DISCOVERY, 0, Link.AGENT, echo.getLocalPort());
            relay.listen();
            Cost cost = new Cost(new Histogram(HIGHEST_US, 3), new Histogram(HIGHEST_US, 3));
            try (Socket direct = connect(echo.getLocalPort());
                    Socket relayed = connect(relay.port())) {
                for (int i = -roundTrips / 10; i < roundTrips; i++) {
                    long straight = roundTrip(direct);
                    long around = roundTrip(relayed);
                    // The first ones warm the code up.
                    if (i >= 0) {
                        cost.direct().recordValue(Math.min(HIGHEST_US, straight));
                        cost.relayed().recordValue(Math.min(HIGHEST_US, around));
                    }
                }
            }
            relay.close();
            return cost;
        } finally {
            group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static Socket connect(int port) throws IOException {
        Socket s = new Socket(InetAddress.getByName("127.0.0.1"), port);
        s.setTcpNoDelay(true);
        s.setSoTimeout(5000);
        return s;
    }

    private static long roundTrip(Socket s) throws IOException {
        long from = System.nanoTime();
        s.getOutputStream().write('x');
        if (s.getInputStream().read() < 0) {
            throw new IOException("the link broke");
        }
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - from);
    }

    /** Says again what is said, on each connection. */
    private static void answer(ServerSocket echo) {
        while (!echo.isClosed()) {
            try {
                Socket s = echo.accept();
                s.setTcpNoDelay(true);
                Thread one = new Thread(() -> echo(s), "echo-link");
                one.setDaemon(true);
                one.start();
            } catch (IOException e) {
                // The measurement is over.
                return;
            }
        }
    }

    private static void echo(Socket s) {
        try (s) {
            InputStream in = s.getInputStream();
            byte[] bytes = new byte[4096];
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                s.getOutputStream().write(bytes, 0, n);
            }
        } catch (IOException e) {
            // The other side has closed, which is how it ends.
            return;
        }
    }
}
