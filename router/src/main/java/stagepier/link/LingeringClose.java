package stagepier.link;

import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The lingering close of one channel: ends the sending, then reads and discards what still comes until the other side ends its
 * sending as well, for a bounded time and a bounded number of bytes. Guards against a reset: the system sends one when a socket
 * is closed on bytes that lie unread, or gets some later, and a reset destroys the last answer on its way. On the event loop.
 */
final class LingeringClose {
    /** Longer than a round trip to any client; who has not ended its sending by then does not mean to. */
    static final int MOST_MS = 300;
    /** Bytes that are read and discarded at the most. */
    static final int BYTES_MOST = 1 << 20;

    private final DuplexChannel channel;
    private final Runnable abort;
    private final Future<?> timer;
    private int left = BYTES_MOST;
    private boolean outputEnded;
    private boolean inputEnded;

    /** @param abort closes the channel at once */
    private LingeringClose(DuplexChannel channel, Runnable abort) {
        this.channel = channel;
        this.abort = abort;
        timer = channel.eventLoop().schedule(abort, MOST_MS, TimeUnit.MILLISECONDS);
    }

    /** Begins one, or returns null where the channel has no two directions to end one by one. */
    static LingeringClose of(Channel channel, Runnable abort) {
        return channel instanceof DuplexChannel duplex && duplex.isActive() ? new LingeringClose(duplex, abort) : null;
    }

    /** All that was queued has been written. */
    void allWritten() {
        if (!outputEnded) {
            outputEnded = true;
            if (inputEnded) {
                abort.run();
            } else {
                channel.shutdownOutput();
            }
        }
    }

    /** The other side has ended its sending; what is queued for it is still written. */
    void endOfStream() {
        inputEnded = true;
        if (outputEnded) {
            abort.run();
        }
    }

    /** So many bytes have come and were discarded. */
    void discarded(int bytes) {
        left -= bytes;
        if (left <= 0) {
            abort.run();
        }
    }

    boolean wantsInput() {
        return !inputEnded && left > 0;
    }

    /** The channel is closed. */
    void over() {
        timer.cancel(false);
    }
}
