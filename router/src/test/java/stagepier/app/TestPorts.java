package stagepier.app;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates ports for processes that bind them seconds later. Each port is returned once per JVM, and all are below the
 * ephemeral range, from which an outgoing connection could take a port in the meantime.
 */
final class TestPorts {
    private static final int LOWEST = 22_000;
    private static final int COUNT = 10_000;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 997 % COUNT));

    private TestPorts() {}

    /** Returns a port that is free at the time of the call. */
    static int next() throws IOException {
        for (int tries = 0; tries < COUNT; tries++) {
            int port = LOWEST + NEXT.getAndIncrement() % COUNT;
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (IOException e) {
                continue;
            }
        }
        throw new IOException("no free port among " + COUNT + " from " + LOWEST);
    }
}
