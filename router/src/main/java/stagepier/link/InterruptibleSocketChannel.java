package stagepier.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A TCP channel for which an interrupted read has read nothing. The JDK returns {@code IOStatus.INTERRUPTED} (-3) from a read that does not
 * block and got EINTR, and Netty takes any number below 0 for the end of the stream.
 */
final class InterruptibleSocketChannel extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;

    InterruptibleSocketChannel() {}

    /** @param accepted a connection of the parent's */
    InterruptibleSocketChannel(Channel parent, SocketChannel accepted) {
        super(parent, accepted);
    }

    @Override
    protected int doReadBytes(ByteBuf bytes) throws Exception {
        int read = super.doReadBytes(bytes);
        return read < END_OF_STREAM ? 0 : read;
    }
}
