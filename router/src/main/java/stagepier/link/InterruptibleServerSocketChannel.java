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
        } catch (RuntimeException | Error e) {
            connection.close();
            throw e;
        }
    }

    /**
     * A fault in accepting one connection says nothing of the listening socket, which is closed by its owner alone. Netty
     * would close it after all but an {@link java.io.IOException}.
     */
    @Override
    protected boolean closeOnReadError(Throwable cause) {
        return !isActive();
    }
}
