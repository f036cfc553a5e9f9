package stagepier.console;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import stagepier.link.CloseReason;
import stagepier.link.Link;
import stagepier.memcache.MalformedException;
import stagepier.memcache.RingBuffer;

/** A console connection: reads one line, writes one answer and closes. */
final class ConsoleLink extends Link {
    /** A caller that has not sent a complete line by then is refused and disconnected. */
    private static final int LINE_TIMEOUT_MS = 10_000;

    private final ConsoleListener listener;
    private Future<?> timer;

    ConsoleLink(ConsoleListener listener, Channel channel) {
        this.listener = listener;
        attach(channel);
    }

    @Override
    protected void onUp() {
        listener.linkOpened(this);
        timer = listener.loop().schedule(() -> refuse("no call in time"), LINE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected boolean wantsInput() {
        return true;
    }

    @Override
    protected void onInput(RingBuffer bytes) {
        int end = bytes.indexOf((byte) '\n', 0);
        if (end >= ConsoleProtocol.MAX_LINE_BYTES || end < 0 && bytes.size() >= ConsoleProtocol.MAX_LINE_BYTES) {
            refuse("line too long");
        } else if (end >= 0) {
            String line = bytes.text(0, end);
            bytes.skip(bytes.size());
            reply(listener.handleLine(line));
        }
    }

    /** The caller sends no more: a line without an end is not a command. */
    @Override
    protected void onEndOfStream() {
        if (unread() == 0) {
            close(CloseReason.PEER_ENDED);
        } else {
            refuse("a line without its end");
        }
    }

    /** Answers with an error and closes. */
    void refuse(String reason) {
        if (!isClosed()) {
            reply(listener.refusal(reason));
        }
    }

    /** Frees the slot of this connection for another caller. */
    void giveUpSlot() {
        if (isClosed()) {
            abort(CloseReason.SLOT_GIVEN_UP);
        } else {
            refuse("too many callers");
        }
    }

    /** Writes the one answer and closes; further input is discarded. */
    private void reply(String line) {
        queue(line.getBytes(StandardCharsets.ISO_8859_1));
        close(CloseReason.DONE);
    }

    @Override
    protected boolean lingers() {
        return true;
    }

    @Override
    protected void fill() {
        // The answer is queued completely by reply.
    }

    @Override
    protected void onWritten() {
        // Nothing is written before the link closes.
    }

    @Override
    protected void onMalformed(MalformedException e) {
        refuse(e.getMessage());
    }

    @Override
    protected void onClosed() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    @Override
    protected void onGivenBack() {
        listener.linkClosed(this);
    }
}
