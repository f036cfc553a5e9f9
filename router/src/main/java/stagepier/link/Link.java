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
import stagepier.memcache.MalformedException;
import stagepier.memcache.RingBuffer;

/**
 * One connection with one ring buffer a direction; owns both and the channel. Reads no more than its ring has
 * room for, and hands bytes to the socket one piece at a time, so that what was written is known, not guessed.
 *
 * <p>It ends in one of two ways: {@link #close} as its kind says by {@link #lingers}, or {@link #abort} where the connection is
 * broken or whoever is at its other end deserves no wait. Once it is closed nothing is taken or answered on it any more; its
 * channel is given back then, or at the end of a {@link LingeringClose}.
 */
public abstract class Link extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(Link.class);
    /** One line at debug level for the end of each connection, under a name of its own, so that it can be turned on alone. */
    private static final Logger ENDS = LoggerFactory.getLogger("stagepier.connections");

    private static final int READ_MOST = 8192;

    private final RingBuffer in = new RingBuffer();
    private final RingBuffer out = new RingBuffer();
    private Channel channel;
    private boolean writing;
    private boolean pumping;
    private boolean closed;
    /** Nothing more comes, and what has come is still to be taken. */
    private boolean inputOver;
    /** Why it was closed; null before that. */
    private CloseReason closeReason;
    /** On its way out, or null. */
    private LingeringClose lingering;

    private boolean givenBack;
    private long queuedBytes;
    private long writtenBytes;

    /** A link goes on to another channel where the one before could not be connected. */
    @Override
    public final boolean isSharable() {
        return true;
    }

    /**
     * Gives the link its channel while that is set up: once, or anew after a channel that was never up. The channel must not read by
     * itself.
     */
    public final void attach(Channel own) {
        channel = own;
        own.config().setAutoRead(false);
        own.config().setRecvByteBufAllocator(new DefaultMaxMessagesRecvByteBufAllocator(1) {
            @SuppressWarnings("deprecation")
            @Override
            public Handle newHandle() {
                return new MaxMessageHandle() {
                    /** Guards against bytes that have no place: a full ring is not read into. */
                    @Override
                    public int guess() {
                        return lingering != null ? READ_MOST : Math.max(1, Math.min(readMost(), in.free()));
                    }
                };
            }
        });
        own.pipeline().addLast(this);
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
            // Never a command: the other side was told that nothing is answered any more.
            int n = bytes.readableBytes();
            bytes.release();
            if (lingering != null) {
                lingering.discarded(n);
            }
            return;
        }
        try {
            for (ByteBuffer piece : bytes.nioBuffers()) {
                in.put(piece);
            }
        } finally {
            bytes.release();
        }
        onBytes();
    }

    /** Bytes have come. Takes what can be taken of them, now or later. */
    protected void onBytes() {
        digest();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        readOn();
    }

    /** Takes what can be taken of the bytes that are there, then reads on if there is room. */
    protected final void digest() {
        if (closed) {
            return;
        }
        try {
            onInput(in);
        } catch (MalformedException e) {
            onMalformed(e);
        }
        if (inputOver) {
            nothingMoreComes();
        }
    }

    protected final void readOn() {
        if (lingering != null) {
            if (!givenBack && lingering.wantsInput()) {
                channel.read();
            }
        } else if (!closed && in.free() > 0 && wantsInput() && isActive()) {
            channel.read();
        }
    }

    /** Reads what has come by this moment, without waiting to be told of it. */
    protected final void readNow() {
        if (!closed
                && in.free() > 0
                && wantsInput()
                && isActive()
                && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
        if (!closed && channel != null && !channel.isOpen()) {
            // The channel tells of its end by way of a task, whoever read that end, and nothing may be written until
            // then.
            nothingMoreComes();
        }
    }

    /** Where a channel may be half closed: the other side has ended its sending. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            if (!closed) {
                onEndOfStream();
            }
            if (lingering != null) {
                lingering.endOfStream();
            }
        }
    }

    /** The other side sends no more, and may still read. */
    protected void onEndOfStream() {
        close(CloseReason.PEER_ENDED);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        nothingMoreComes();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof java.io.IOException) {
            nothingMoreComes();
        } else {
            LOG.error("a link failed", cause);
            abort(CloseReason.FAULT);
        }
    }

    /**
     * The other side has closed or reset the connection. Guards against throwing away what came before that and lies in the ring,
     * where it waits for room elsewhere: it is taken first, and the link ends after it.
     */
    private void nothingMoreComes() {
        if (closed || in.size() == 0 || !takesLater()) {
            abort(CloseReason.PEER_ENDED);
        } else if (!inputOver) {
            inputOver = true;
            channel.close();
            onInputOver();
        }
    }

    /** Whether what lies in the ring will be taken by and by, though nothing more comes. */
    protected boolean takesLater() {
        return false;
    }

    /** Nothing more comes, and what lies in the ring is taken by and by. */
    protected void onInputOver() {}

    /** Whether nothing more comes on it. */
    protected final boolean isInputOver() {
        return inputOver;
    }

    /**
     * Ends the link in the way of its kind: the one place where that is chosen. Nothing that comes after this is taken. A link
     * that lingers writes what is queued, ends its sending and reads on for a while; any other gives its channel back at once.
     */
    protected final void close(CloseReason reason) {
        if (closed) {
            return;
        }
        lingering = lingers() ? LingeringClose.of(channel, () -> abort(reason)) : null;
        if (lingering == null) {
            abort(reason);
            return;
        }
        in.skip(in.size());
        end(reason);
        if (out.size() == 0) {
            lingering.allWritten();
        } else {
            pump();
        }
        readOn();
    }

    /** Whether the other side may still send when this link closes, and has something on its way that a reset would destroy. */
    protected boolean lingers() {
        return false;
    }

    /** Gives the channel back at once, whatever is on its way. */
    protected final void abort(CloseReason reason) {
        if (channel != null) {
            channel.close();
        }
        end(reason);
        if (!givenBack) {
            givenBack = true;
            if (lingering != null) {
                lingering.over();
            }
            onGivenBack();
        }
    }

    private boolean isActive() {
        return channel != null && channel.isActive();
    }

    private void end(CloseReason reason) {
        if (!closed) {
            closed = true;
            closeReason = reason;
            logEnd();
            onClosed();
        }
    }

    private void logEnd() {
        if (ENDS.isDebugEnabled()) {
            ENDS.debug(
                    "{} {} closed reason={} unread={} queued={}",
                    getClass().getSimpleName(),
                    channel,
                    closeReason,
                    in.size(),
                    out.size());
        }
    }

    /** Why it was closed; null before that. */
    public final CloseReason closeReason() {
        return closeReason;
    }

    /** Nothing is taken or answered any more. */
    protected final boolean isClosed() {
        return closed;
    }

    /** The channel is closed as well. */
    protected final boolean isGivenBack() {
        return givenBack;
    }

    /** Queues a whole message; returns the count of bytes written once its last one is. */
    protected final long queue(byte[] message) {
        out.put(message);
        queuedBytes += message.length;
        return queuedBytes;
    }

    /** Queues as much of a message, from an index on, as there is room for; returns how much. */
    protected final int queue(byte[] message, int from) {
        int n = Math.min(message.length - from, out.free());
        out.put(ByteBuffer.wrap(message, from, n));
        queuedBytes += n;
        return n;
    }

    /** Queues what one gives, as far as there is room; returns how many bytes. */
    protected final int queue(ToIntFunction<RingBuffer> giver) {
        int n = giver.applyAsInt(out);
        queuedBytes += n;
        return n;
    }

    /** What has come, for who moves it on. */
    protected final RingBuffer input() {
        return in;
    }

    /** Bytes that the socket has taken so far. */
    protected final long writtenBytes() {
        return writtenBytes;
    }

    /** The same with those of a piece of which the socket has taken only a part. */
    protected final long takenBytes() {
        ChannelOutboundBuffer pieces = channel == null ? null : channel.unsafe().outboundBuffer();
        return writtenBytes + (writing && pieces != null ? pieces.currentProgress() : 0);
    }

    /** Bytes that have come and were not taken yet. */
    protected final int unread() {
        return in.size();
    }

    /** Bytes that are read at once at the most. */
    protected int readMost() {
        return READ_MOST;
    }

    /** Memory that its buffers take. */
    public int heldBytes() {
        return in.capacity() + out.capacity();
    }

    protected final boolean nothingQueued() {
        return out.size() == 0;
    }

    /** Writes what is queued and what {@link #fill} adds, until the socket takes no more. */
    protected final void pump() {
        if (pumping) {
            return;
        }
        pumping = true;
        try {
            while (!writing && (!closed || lingering != null) && isActive()) {
                if (!closed) {
                    fill();
                }
                ByteBuffer front = out.front();
                if (!front.hasRemaining()) {
                    return;
                }
                write(front);
            }
        } finally {
            pumping = false;
        }
    }

    private void write(ByteBuffer front) {
        int n = front.remaining();
        writing = true;
        channel.writeAndFlush(Unpooled.wrappedBuffer(front)).addListener(done -> {
            writing = false;
            if (done.isSuccess()) {
                out.skip(n);
                writtenBytes += n;
                written();
            } else {
                nothingMoreComes();
            }
        });
    }

    private void written() {
        if (lingering == null) {
            onWritten();
            pump();
        } else if (out.size() == 0) {
            lingering.allWritten();
        } else {
            pump();
        }
    }

    protected abstract void onUp();

    /** Takes whole messages off the ring. */
    protected abstract void onInput(RingBuffer bytes) throws MalformedException;

    protected abstract void onMalformed(MalformedException e);

    protected abstract boolean wantsInput();

    /** Queues further messages as far as they fit. */
    protected abstract void fill();

    protected abstract void onWritten();

    /** Called once, whoever closed: nothing is taken or answered any more. */
    protected abstract void onClosed();

    /** Called once, after {@link #onClosed}: the channel is closed as well. */
    protected void onGivenBack() {
        // Most kinds hold nothing for the channel alone.
    }
}
