package stagepier.lab.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Free ports on loopback. */
final class Ports {
    private Ports() {
    }

    /** One that nobody listens on now; somebody else may take it before it is used, which the start then tells. */
    static int free() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }
}
