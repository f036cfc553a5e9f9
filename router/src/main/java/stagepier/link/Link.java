package stagepier.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import java.nio.ByteBuffer;
import java.util.function.ToIntFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.memcache.MalformedException;
import stagepier.memcache.RingBuffer;

/**
 * One connection with one ring buffer a direction; owns both and the channel. Reads no more than its ring has
 * room for, and hands bytes to the socket one piece at a time, so that what was written is known, not guessed.
 */
public abstract class Link extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(Link.class);
    private static final int READ_MOST = 8192;

    private final RingBuffer in = new RingBuffer();
    private final RingBuffer out = new RingBuffer();
    private Channel channel;
    private boolean writing;
    private boolean pumping;
    private boolean closed;
    private long queuedBytes;
    private long writtenBytes;

    /** Gives the link its channel, once, while that is set up. The channel must not read by itself. */
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
                        return Math.max(1, Math.min(readMost(), in.free()));
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
    }

    protected final void readOn() {
        if (!closed && in.free() > 0 && wantsInput() && isActive()) {
            channel.read();
        }
    }

    /** Reads what has come by this moment, without waiting to be told of it. */
    protected final void readNow() {
        if (!closed && in.free() > 0 && wantsInput() && isActive()
                && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
            if (!closed && !isActive()) {
                // The channel tells of its end by way of a task, and nothing may be written until then.
                close();
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        end();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            LOG.error("a link failed", cause);
        }
        close();
    }

    /** The one place where the connection is given back. */
    protected final void close() {
        if (channel != null) {
            channel.close();
        }
        end();
    }

    private boolean isActive() {
        return channel != null && channel.isActive();
    }

    private void end() {
        if (!closed) {
            closed = true;
            onClosed();
        }
    }

    protected final boolean isClosed() {
        return closed;
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
            while (!writing && !closed && isActive()) {
                fill();
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
                onWritten();
                pump();
            } else {
                close();
            }
        });
    }

    protected abstract void onUp();

    /** Takes whole messages off the ring. */
    protected abstract void onInput(RingBuffer bytes) throws MalformedException;

    protected abstract void onMalformed(MalformedException e);

    protected abstract boolean wantsInput();

    /** Queues further messages as far as they fit. */
    protected abstract void fill();

    protected abstract void onWritten();

    /** Called once, whoever closed. */
    protected abstract void onClosed();
}
