package stagepier.link;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.internal.SocketUtils;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A listening TCP channel whose connections are {@link InterruptibleSocketChannel}s. */
final class InterruptibleServerSocketChannel extends NioServerSocketChannel {
    InterruptibleServerSocketChannel() {}

    /** @param listening a socket that already listens */
    InterruptibleServerSocketChannel(ServerSocketChannel listening) {
        super(listening);
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel connection = SocketUtils.accept(javaChannel());
        if (connection == null) {
            return 0;
        }
        try {
            accepted.add(new InterruptibleSocketChannel(this, connection));
            return 1;
        } catch (RuntimeException e) {
            connection.close();
            throw e;
        }
    }
}
