package stagepier.lab.fleet;

import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Free ports on loopback. */
final class Ports {
    private static final int LOWEST = 20_000;
    /** From here on Linux gives ports out by itself. */
    private static final int GIVEN_OUT_FROM = 32_768;

    private Ports() {
    }

    /** The same for datagrams, so many at a time. */
    static int[] freeForDatagrams(int count) throws IOException {
        DatagramSocket[] taken = new DatagramSocket[count];
        int[] ports = new int[count];
        try {
            for (int i = 0; i < count; i++) {
                taken[i] = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
                ports[i] = taken[i].getLocalPort();
            }
        } finally {
            for (DatagramSocket s : taken) {
                if (s != null) {
                    s.close();
                }
            }
        }
        return ports;
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
