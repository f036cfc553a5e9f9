package stagepier.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** All sockets of the fleet's calls, so that a stop can end the waits on them: an interrupt does not. Counts who was shut out. */
final class OpenSockets {
    private static final Logger LOG = LoggerFactory.getLogger(OpenSockets.class);

    private final Set<Closeable> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicLong strangers = new AtomicLong();
    private final AtomicLong garbage = new AtomicLong();
    private volatile boolean closed;

    /** @throws IOException all has been closed */
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
            LOG.debug("a socket could not be closed: {}", e.getMessage());
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

    /** Who is no member, or takes this router for another. */
    void stranger(String what) {
        count(strangers, "a stranger was shut out", what);
    }

    /** What makes no sense. */
    void garbage(String what) {
        count(garbage, "a link that said garbage was closed", what);
    }

    /** Logged at the 1st, 2nd, 4th, 8th...: whoever knocks for hours does not fill the log. */
    private static void count(AtomicLong counter, String event, String what) {
        long n = counter.incrementAndGet();
        if (Long.bitCount(n) == 1) {
            LOG.warn("{}, the {}. time: {}", event, n, what);
        }
    }

    long strangers() {
        return strangers.get();
    }

    long garbage() {
        return garbage.get();
    }
}
