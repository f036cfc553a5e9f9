package stagepier.app;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports for processes that bind them seconds later: each is given once in this JVM, and all lie below those that the system gives to
 * connections, which could take one meanwhile.
 */
final class TestPorts {
    private static final int LOWEST = 22_000;
    private static final int COUNT = 10_000;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 997 % COUNT));

    private TestPorts() {}

    /** One that is free now. */
    static int next() throws IOException {
        for (int tries = 0; tries < COUNT; tries++) {
            int port = LOWEST + NEXT.getAndIncrement() % COUNT;
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (IOException e) {
                continue;
            }
        }
        throw new IOException("no port is free");
    }
}
