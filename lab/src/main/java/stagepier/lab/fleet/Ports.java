package stagepier.lab.fleet;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Free ports on loopback. */
final class Ports {
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

    /** So many that nobody listens on now; somebody else may take one before it is used, which the start then tells. */
    static int[] free(int count) throws IOException {
        ServerSocket[] taken = new ServerSocket[count];
        int[] ports = new int[count];
        try {
            for (int i = 0; i < count; i++) {
                taken[i] = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                ports[i] = taken[i].getLocalPort();
            }
        } finally {
            for (ServerSocket s : taken) {
                if (s != null) {
                    s.close();
                }
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
