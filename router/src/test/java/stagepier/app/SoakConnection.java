package stagepier.app;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/** A connection of a soak client whose state other threads may read. */
final class SoakConnection {
    private final Socket socket;
    private final SoakRouter.Incarnation incarnation;
    private final long openedAt = System.nanoTime();
    /** Time at which the open request was sent; 0 if none is open. */
    private volatile long requestSentAt;

    private volatile boolean closed;
    private boolean expectErrors;

    SoakConnection(Socket socket, SoakRouter.Incarnation incarnation) {
        this.socket = socket;
        this.incarnation = incarnation;
    }

    Socket socket() {
        return socket;
    }

    SoakRouter.Incarnation incarnation() {
        return incarnation;
    }

    /** Records whether a request is open from now on. */
    void setRequestOpen(boolean isOpen) {
        requestSentAt = isOpen ? System.nanoTime() : 0;
    }

    /** Records that the client has sent input that is not a request. */
    void expectErrors() {
        expectErrors = true;
    }

    boolean isExpectedError(String line) {
        return expectErrors && (line.equals("ERROR") || line.startsWith("CLIENT_ERROR "));
    }

    /**
     * Returns whether the connection is still open although a drain should have closed it: idle, or with a recent
     * request.
     *
     * @param openedBefore time by {@link System#nanoTime}; connections opened later are ignored
     * @param sentAfter    time by {@link System#nanoTime}; requests sent earlier may still be open
     */
    boolean isHeld(long openedBefore, long sentAfter) {
        long at = requestSentAt;
        return !closed && openedAt < openedBefore && (at == 0 || at > sentAfter);
    }

    void close() {
        closed = true;
        try {
            socket.close();
        } catch (IOException e) {
            // The connection is not used any more either way.
            return;
        }
    }

    @Override
    public String toString() {
        return "on " + incarnation + ", open for " + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - openedAt)
                + " ms";
    }
}
