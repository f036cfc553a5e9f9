package stagepier.link;

import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The lingering close of one channel: shuts down the output, then reads and discards input until the peer ends its
 * stream as well, for a bounded time and a bounded number of bytes. The system sends a reset when a socket is closed
 * with unread input or receives some later, and a reset would destroy the last answer before the peer reads it. On the
 * event loop.
 */
final class LingeringClose {
    /** Longer than a round trip to any client. A peer that has not ended its stream by then is not going to. */
    static final int TIMEOUT_MS = 300;
    /** Maximum number of bytes that are read and discarded. */
    static final int MAX_DISCARDED_BYTES = 1 << 20;

    private final DuplexChannel channel;
    private final Runnable abort;
    private final Future<?> timer;
    private int remainingBytes = MAX_DISCARDED_BYTES;
    private boolean outputEnded;
    private boolean inputEnded;

    /** @param abort closes the channel at once */
    private LingeringClose(DuplexChannel channel, Runnable abort) {
        this.channel = channel;
        this.abort = abort;
        timer = channel.eventLoop().schedule(abort, TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Starts a lingering close, or returns null if the channel cannot be half-closed. */
    static LingeringClose of(Channel channel, Runnable abort) {
        return channel instanceof DuplexChannel duplex && duplex.isActive() ? new LingeringClose(duplex, abort) : null;
    }

    /** All queued output has been written. */
    void onAllWritten() {
        if (!outputEnded) {
            outputEnded = true;
            if (inputEnded) {
                abort.run();
            } else {
                channel.shutdownOutput();
            }
        }
    }

    /** The peer has ended its stream; queued output is still written. */
    void onEndOfStream() {
        inputEnded = true;
        if (outputEnded) {
            abort.run();
        }
    }

    /** Input of this many bytes has arrived and was discarded. */
    void onDiscarded(int bytes) {
        remainingBytes -= bytes;
        if (remainingBytes <= 0) {
            abort.run();
        }
    }

    boolean wantsInput() {
        return !inputEnded && remainingBytes > 0;
    }

    /** The channel is closed. */
    void onChannelClosed() {
        timer.cancel(false);
    }
}
