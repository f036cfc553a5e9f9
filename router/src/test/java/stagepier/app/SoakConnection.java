package stagepier.app;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/** A connection that a client of a soak holds, as others may look at it. */
final class SoakConnection {
    private final Socket socket;
    private final SoakRouter.Incarnation incarnation;
    private final long openedAt = System.nanoTime();
    /** When the request was sent that is open; 0 while none is. */
    private volatile long askedAt;

    private volatile boolean closed;
    private boolean expectsErrors;

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

    /** Whether a request is open on it from now on. */
    void asked(boolean isOpen) {
        askedAt = isOpen ? System.nanoTime() : 0;
    }

    /** It has sent what is no request. */
    void expectsErrors() {
        expectsErrors = true;
    }

    boolean isExpectedError(String line) {
        return expectsErrors && (line.equals("ERROR") || line.startsWith("CLIENT_ERROR "));
    }

    /**
     * Whether it is held as no connection may be at the end of a drain: idle, or with a request of the last seconds.
     *
     * @param openedBefore younger ones are left out, as {@link System#nanoTime} has it
     * @param askedAfter   a request that was sent before may still be open
     */
    boolean isHeld(long openedBefore, long askedAfter) {
        long at = askedAt;
        return !closed && openedAt < openedBefore && (at == 0 || at > askedAfter);
    }

    void close() {
        closed = true;
        try {
            socket.close();
        } catch (IOException e) {
            // It is of no more use either way.
            return;
        }
    }

    @Override
    public String toString() {
        return "on " + incarnation + ", open for " + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - openedAt)
                + " ms";
    }
}
