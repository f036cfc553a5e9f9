package stagepier.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A TCP channel that treats an interrupted read as a read of nothing. The JDK returns {@code IOStatus.INTERRUPTED} (-3)
 * from a non-blocking read that got EINTR, and Netty takes any negative number for the end of the stream.
 */
final class InterruptibleSocketChannel extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;

    InterruptibleSocketChannel() {}

    /** @param accepted a connection accepted by the parent */
    InterruptibleSocketChannel(Channel parent, SocketChannel accepted) {
        super(parent, accepted);
    }

    @Override
    protected int doReadBytes(ByteBuf bytes) throws Exception {
        int read = super.doReadBytes(bytes);
        return read < END_OF_STREAM ? 0 : read;
    }
}
