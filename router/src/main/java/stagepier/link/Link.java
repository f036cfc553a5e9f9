package stagepier.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.nio.ByteBuffer;
import java.util.function.ToIntFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.logging.FaultLog;
import stagepier.memcache.MalformedException;
import stagepier.memcache.RingBuffer;

/**
 * One connection with one ring buffer for each direction; owns both and the channel. Reads only as much as its ring has
 * room for, and hands bytes to the socket one chunk at a time, so that the number of written bytes is known exactly.
 *
 * <p>It is closed in one of two ways: by {@link #close}, which lingers if {@link #lingers} returns true, or by {@link
 * #abort} if the connection is broken or the peer is not worth waiting for. Once it is closed, no more input is
 * processed or answered; its channel is released then, or at the end of a {@link LingeringClose}.
 */
public abstract class Link extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(Link.class);
    /**
     * Logs one line at debug level for each closed connection, under a name of its own so that it can be enabled
     * separately.
     */
    private static final Logger CLOSE_LOG = LoggerFactory.getLogger("stagepier.connections");

    private static final int MAX_READ_BYTES = 8192;

    private final RingBuffer inbound = new RingBuffer();
    private final RingBuffer outbound = new RingBuffer();
    private Channel channel;
    private boolean writing;
    private boolean pumping;
    private boolean closed;
    /** No more input will arrive, but what is in the ring is still to be processed. */
    private boolean inputEnded;
    /** Whether the last read took as much as it could, so that the socket may hold more. */
    private boolean lastReadFull;
    /** Null until the connection is closed. */
    private CloseReason closeReason;
    /** The lingering close in progress, or null. */
    private LingeringClose lingeringClose;

    private boolean givenBack;
    private long queuedBytes;
    private long writtenBytes;

    /** A link moves to another channel if the previous one could not be connected. */
    @Override
    public final boolean isSharable() {
        return true;
    }

    /**
     * Sets the channel of the link during channel initialisation: once, or again after a channel that was never
     * connected. The channel must not use auto-read.
     */
    public final void attach(Channel newChannel) {
        channel = newChannel;
        newChannel.config().setAutoRead(false);
        newChannel.config().setRecvByteBufAllocator(new DefaultMaxMessagesRecvByteBufAllocator(1) {
            @SuppressWarnings("deprecation")
            @Override
            public Handle newHandle() {
                return new MaxMessageHandle() {
                    /** Limits a read to the free space of the ring, so that all bytes read can be stored. */
                    @Override
                    public int guess() {
                        return lingeringClose != null
                                ? MAX_READ_BYTES
                                : Math.max(1, Math.min(readMost(), inbound.free()));
                    }
                };
            }
        });
        newChannel.pipeline().addLast(this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        onUp();
        readOn();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (closed) {
            // Not a command: the link is closed and answers nothing more.
            int n = bytes.readableBytes();
            bytes.release();
            if (lingeringClose != null) {
                lingeringClose.onDiscarded(n);
            }
            return;
        }
        lastReadFull = !bytes.isWritable();
        try {
            for (ByteBuffer piece : bytes.nioBuffers()) {
                inbound.put(piece);
            }
        } finally {
            bytes.release();
        }
        onBytes();
    }

    /** Called when input has arrived. Processes it as far as possible, now or later. */
    protected void onBytes() {
        digest();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        readOn();
    }

    /** Processes the buffered input as far as possible, then reads more if there is room. */
    protected final void digest() {
        if (closed) {
            return;
        }
        try {
            onInput(inbound);
        } catch (MalformedException e) {
            onMalformed(e);
        }
        if (inputEnded) {
            endInput();
        }
    }

    protected final void readOn() {
        if (lingeringClose != null) {
            if (!givenBack && lingeringClose.wantsInput()) {
                channel.read();
            }
        } else if (!closed && inbound.free() > 0 && wantsInput() && isActive()) {
            channel.read();
        }
    }

    /**
     * Reads what has arrived by now without waiting for the selector; returns whether it has looked, which it does not
     * while the link wants no input. In a channel without a socket nothing lies unread.
     */
    protected final boolean readNow() {
        boolean looks = !closed && inbound.free() > 0 && wantsInput() && isActive();
        if (looks && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
        if (!closed && channel != null && !channel.isOpen()) {
            // Whichever code read the end of the stream, the channel reports its close by a later task, and nothing may
            // be written until then.
            endInput();
        }
        return looks;
    }

    /**
     * Writes what the socket has room for without waiting for the selector, which reports room only once much of the
     * socket's buffer is free: up to some megabytes, for which a slow peer takes seconds.
     */
    protected final void writeNow() {
        if (!closed && writing && isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.forceFlush();
        }
    }

    /** Handles the end of the peer's stream on a channel that may be half-closed. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            if (!closed) {
                onEndOfStream();
            }
            if (lingeringClose != null) {
                lingeringClose.onEndOfStream();
            }
        }
    }

    /** Called when the peer sends no more but may still read. */
    protected void onEndOfStream() {
        close(CloseReason.PEER_ENDED);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        endInput();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof java.io.IOException) {
            endInput();
        } else {
            fail(cause);
        }
    }

    /**
     * Runs a step of this link, and aborts the link if the step throws: an event loop goes on after what a task or a
     * listener throws, and the rest of the step would never be done.
     */
    public final void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            fail(e);
        }
    }

    /** Aborts the link after a fault of this program, since its state is no longer reliable. */
    private void fail(Throwable fault) {
        FaultLog.error(LOG, "closed a connection after an internal error", fault);
        abort(CloseReason.FAULT);
    }

    /**
     * Handles a close or reset by the peer. Input that arrived before and waits in the ring for room elsewhere must not
     * be lost: it is processed first, and the link is closed after that.
     */
    private void endInput() {
        if (closed || inbound.size() == 0 || !takesLater()) {
            abort(CloseReason.PEER_ENDED);
        } else if (!inputEnded) {
            inputEnded = true;
            channel.close();
            onInputOver();
        }
    }

    /** Returns whether the input in the ring will still be processed although no more arrives. */
    protected boolean takesLater() {
        return false;
    }

    /** Called when no more input arrives while the rest in the ring is still being processed. */
    protected void onInputOver() {}

    /** Returns whether no more input will arrive. */
    protected final boolean isInputOver() {
        return inputEnded;
    }

    /**
     * Closes the link, lingering if {@link #lingers} returns true; only this method decides that. Later input is not
     * processed. A lingering link writes its queued output, ends its stream and reads for a while; any other releases
     * its channel at once.
     */
    protected final void close(CloseReason reason) {
        if (closed) {
            return;
        }
        lingeringClose = lingers() ? LingeringClose.of(channel, () -> abort(reason)) : null;
        if (lingeringClose == null) {
            abort(reason);
            return;
        }
        inbound.skip(inbound.size());
        markClosed(reason);
        if (outbound.size() == 0) {
            lingeringClose.onAllWritten();
        } else {
            pump();
        }
        readOn();
    }

    /**
     * Returns whether the peer may still send when this link closes, and has output in flight to it that a reset would
     * destroy.
     */
    protected boolean lingers() {
        return false;
    }

    /** Releases the channel at once and drops all queued output. */
    protected final void abort(CloseReason reason) {
        if (channel != null) {
            channel.close();
        }
        markClosed(reason);
        if (!givenBack) {
            givenBack = true;
            if (lingeringClose != null) {
                lingeringClose.onChannelClosed();
            }
            onGivenBack();
        }
    }

    private boolean isActive() {
        return channel != null && channel.isActive();
    }

    private void markClosed(CloseReason reason) {
        if (!closed) {
            closed = true;
            closeReason = reason;
            logClose();
            onClosed();
        }
    }

    private void logClose() {
        if (CLOSE_LOG.isDebugEnabled()) {
            CLOSE_LOG.debug(
                    "{} {} closed reason={} unread={} queued={}",
                    getClass().getSimpleName(),
                    channel,
                    closeReason,
                    inbound.size(),
                    outbound.size());
        }
    }

    /** Returns the reason of the close; null before that. */
    public final CloseReason closeReason() {
        return closeReason;
    }

    /** Returns whether the link is closed: no more input is processed or answered. */
    protected final boolean isClosed() {
        return closed;
    }

    /** Returns whether the channel is closed as well. */
    protected final boolean isGivenBack() {
        return givenBack;
    }

    /** Queues a whole message; returns the number of written bytes that is reached when its last byte is written. */
    protected final long queue(byte[] message) {
        outbound.put(message);
        queuedBytes += message.length;
        return queuedBytes;
    }

    /** Queues as much of a message, from an index on, as there is room for; returns that number of bytes. */
    protected final int queue(byte[] message, int from) {
        int n = Math.min(message.length - from, outbound.free());
        outbound.put(ByteBuffer.wrap(message, from, n));
        queuedBytes += n;
        return n;
    }

    /** Queues what a source provides, as far as there is room; returns the number of bytes. */
    protected final int queue(ToIntFunction<RingBuffer> source) {
        int n = source.applyAsInt(outbound);
        queuedBytes += n;
        return n;
    }

    /** Returns the buffered input, for a caller that moves it elsewhere. */
    protected final RingBuffer input() {
        return inbound;
    }

    /** Returns the number of bytes that the socket has accepted so far, in complete chunks. */
    protected final long writtenBytes() {
        return writtenBytes;
    }

    /**
     * Returns the number of bytes that the socket has accepted so far, including a chunk of which it has accepted only
     * a part.
     */
    protected final long takenBytes() {
        ChannelOutboundBuffer outputBuffer =
                channel == null ? null : channel.unsafe().outboundBuffer();
        return writtenBytes + (writing && outputBuffer != null ? outputBuffer.currentProgress() : 0);
    }

    /** Returns the number of input bytes that have not been processed yet. */
    protected final int unread() {
        return inbound.size();
    }

    /** Returns whether the socket may hold more input than the last read took. */
    protected final boolean socketMayHoldMore() {
        return lastReadFull;
    }

    /** Returns the maximum number of bytes of one read. */
    protected int readMost() {
        return MAX_READ_BYTES;
    }

    /** Returns the memory of the input buffer in bytes. */
    protected final int inputCapacity() {
        return inbound.capacity();
    }

    /** Returns the memory of the output buffer in bytes. */
    protected final int outputCapacity() {
        return outbound.capacity();
    }

    protected final boolean nothingQueued() {
        return outbound.size() == 0;
    }

    /**
     * Writes what is queued and what {@link #fill} adds, until the socket accepts no more. A fault ends this link alone,
     * since the caller may be in a step of another link.
     */
    protected final void pump() {
        if (pumping) {
            return;
        }
        pumping = true;
        try {
            runGuarded(this::writeQueued);
        } finally {
            pumping = false;
        }
    }

    private void writeQueued() {
        while (!writing && (!closed || lingeringClose != null) && isActive()) {
            if (!closed) {
                fill();
            }
            ByteBuffer front = outbound.front();
            if (!front.hasRemaining()) {
                return;
            }
            writeChunk(front);
        }
    }

    private void writeChunk(ByteBuffer front) {
        int n = front.remaining();
        writing = true;
        channel.writeAndFlush(Unpooled.wrappedBuffer(front))
                .addListener(done -> runGuarded(() -> onChunkDone(n, done.isSuccess())));
    }

    private void onChunkDone(int bytes, boolean written) {
        writing = false;
        if (written) {
            outbound.skip(bytes);
            writtenBytes += bytes;
            afterWrite();
        } else {
            endInput();
        }
    }

    private void afterWrite() {
        if (lingeringClose == null) {
            onWritten();
            pump();
        } else if (outbound.size() == 0) {
            lingeringClose.onAllWritten();
        } else {
            pump();
        }
    }

    protected abstract void onUp();

    /** Processes whole messages from the ring. */
    protected abstract void onInput(RingBuffer bytes) throws MalformedException;

    protected abstract void onMalformed(MalformedException e);

    protected abstract boolean wantsInput();

    /** Queues further messages as far as they fit. */
    protected abstract void fill();

    protected abstract void onWritten();

    /** Called once, whichever side closed: no more input is processed or answered. */
    protected abstract void onClosed();

    /** Called once, after {@link #onClosed}: the channel is closed as well. */
    protected void onGivenBack() {
        // Most subclasses hold no resources for the channel alone.
    }
}
