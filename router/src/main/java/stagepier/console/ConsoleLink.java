package stagepier.console;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import stagepier.link.CloseReason;
import stagepier.link.Link;
import stagepier.memcache.MalformedException;
import stagepier.memcache.RingBuffer;

/** A caller's connection: one line in, one line out, and the end. */
final class ConsoleLink extends Link {
    /** A caller that says nothing, or does not finish its line, is told so and let go after this. */
    private static final int PATIENCE_MS = 10_000;

    private final ConsoleListener owner;
    private Future<?> timer;

    ConsoleLink(ConsoleListener owner, Channel channel) {
        this.owner = owner;
        attach(channel);
    }

    @Override
    protected void onUp() {
        owner.opened(this);
        timer = owner.loop().schedule(() -> refuse("no call in time"), PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected boolean wantsInput() {
        return true;
    }

    @Override
    protected void onInput(RingBuffer bytes) {
        int end = bytes.indexOf((byte) '\n', 0);
        if (end >= ConsoleProtocol.LONGEST || end < 0 && bytes.size() >= ConsoleProtocol.LONGEST) {
            refuse("line too long");
        } else if (end >= 0) {
            String line = bytes.text(0, end);
            bytes.skip(bytes.size());
            say(owner.call(line));
        }
    }

    /** The caller sends no more: a call without a line end is none. */
    @Override
    protected void onEndOfStream() {
        if (unread() == 0) {
            close(CloseReason.PEER_ENDED);
        } else {
            refuse("a line without its end");
        }
    }

    /** Tells the caller why, and lets it go. */
    void refuse(String why) {
        if (!isClosed()) {
            say(owner.refusal(why));
        }
    }

    /** Makes room for another caller. */
    void leave() {
        if (isClosed()) {
            abort(CloseReason.SLOT_GIVEN_UP);
        } else {
            refuse("too many callers");
        }
    }

    /** Its one answer, and the end; what the caller still sends behind its line is discarded. */
    private void say(String line) {
        queue(line.getBytes(StandardCharsets.ISO_8859_1));
        close(CloseReason.DONE);
    }

    @Override
    protected boolean lingers() {
        return true;
    }

    @Override
    protected void fill() {
        // Its one line is queued whole.
    }

    @Override
    protected void onWritten() {
        // Nothing is written before it closes.
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
        owner.closed(this);
    }
}
