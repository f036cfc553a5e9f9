package stagepier.lab.fleet;

import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Free ports on loopback. */
public final class Ports {
    private static final int LOWEST = 20_000;
    /** From here on Linux gives ports out by itself. */
    private static final int GIVEN_OUT_FROM = 32_768;

    private Ports() {}

    /**
     * So many for datagrams that nobody has now, below those that the system gives out by itself: a relay that is
     * opened meanwhile is not given a router's.
     */
    public static int[] freeForDatagrams(int count) throws IOException {
        List<DatagramSocket> taken = new ArrayList<>();
        try {
            int next = ThreadLocalRandom.current().nextInt(LOWEST, GIVEN_OUT_FROM - 1000);
            for (; taken.size() < count; next++) {
                if (next >= GIVEN_OUT_FROM) {
                    throw new IOException("no " + count + " free ports for datagrams below " + GIVEN_OUT_FROM);
                }
                try {
                    taken.add(new DatagramSocket(next, InetAddress.getByName("127.0.0.1")));
                } catch (BindException e) {
                    // Taken: the next one.
                }
            }
            return taken.stream().mapToInt(DatagramSocket::getLocalPort).toArray();
        } finally {
            taken.forEach(DatagramSocket::close);
        }
    }

    /**
     * So many that nobody listens on now, below those that the system gives out by itself: a router that starts again finds its own
     * still free, and no relay of the lab's is given it.
     */
    static int[] lasting(int count) throws IOException {
        int[] ports = new int[count];
        int next = ThreadLocalRandom.current().nextInt(LOWEST, GIVEN_OUT_FROM - 1000);
        for (int i = 0; i < count; next++) {
            if (next >= GIVEN_OUT_FROM) {
                throw new IOException("no " + count + " free ports below " + GIVEN_OUT_FROM);
            }
            try (ServerSocket s = new ServerSocket(next, 1, InetAddress.getByName("127.0.0.1"))) {
                ports[i++] = s.getLocalPort();
            } catch (BindException e) {
                // Taken: the next one.
            }
        }
        return ports;
    }

    /** One that nobody listens on now; somebody else may take it before it is used, which the start then tells. */
    static int free() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }
}
