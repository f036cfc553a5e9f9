package stagepier.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks all sockets used for fleet calls, so that a stop can close them: an interrupt does not end blocking socket
 * operations. Also counts rejected and malformed links.
 */
final class OpenSockets {
    private static final Logger LOG = LoggerFactory.getLogger(OpenSockets.class);

    private final Set<Closeable> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicLong rejected = new AtomicLong();
    private final AtomicLong malformed = new AtomicLong();
    private volatile boolean closed;

    /** @throws IOException if all sockets have been closed */
    void add(Closeable socket) throws IOException {
        sockets.add(socket);
        if (closed) {
            close(socket);
            throw new IOException("closed");
        }
    }

    void close(Closeable socket) {
        sockets.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            LOG.debug("could not close a fleet socket: {}", e.getMessage());
        }
    }

    void closeAll() {
        closed = true;
        sockets.forEach(this::close);
    }

    boolean isClosed() {
        return closed;
    }

    int size() {
        return sockets.size();
    }

    /** Counts a rejected link: the sender is not a member, expected another router, or did not identify itself. */
    void recordRejected(String reason) {
        count(rejected, "rejected a fleet link", reason);
    }

    /** Counts a link that was closed because of malformed data. */
    void recordMalformed(String reason) {
        count(malformed, "closed a link after malformed data", reason);
    }

    /** Logs the 1st, 2nd, 4th, 8th... occurrence, so that repeated attempts over hours do not fill the log. */
    private static void count(AtomicLong counter, String event, String reason) {
        long n = counter.incrementAndGet();
        if (Long.bitCount(n) == 1) {
            LOG.warn("{} (occurrence {}): {}", event, n, reason);
        }
    }

    long rejected() {
        return rejected.get();
    }

    long malformed() {
        return malformed.get();
    }
}
