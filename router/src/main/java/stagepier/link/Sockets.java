package stagepier.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.socket.SocketProtocolFamily;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.ServerSocketChannel;
import java.util.function.Supplier;

/**
 * Opens the sockets of channels before a bootstrap is given them. Guards against a bootstrap that opens one itself and tells of a socket
 * that the system refuses on a thread of its own, in place of the event loop on which all else happens.
 *
 * <p>Each method throws an {@link io.netty.channel.ChannelException} where the system has no socket now. What it returns is for one
 * connection or listening socket.
 */
public final class Sockets {
    private Sockets() {}

    /** A TCP socket that is to be connected. */
    public static ChannelFactory<NioSocketChannel> connecting() {
        return opened(InterruptibleSocketChannel::new);
    }

    /** A TCP socket that is to listen. */
    public static ChannelFactory<NioServerSocketChannel> listening() {
        return opened(InterruptibleServerSocketChannel::new);
    }

    /** A TCP socket that listens already, for which nothing is opened. */
    public static ChannelFactory<NioServerSocketChannel> listening(ServerSocketChannel socket) {
        return () -> new InterruptibleServerSocketChannel(socket);
    }

    /** A UDP socket for IPv4. */
    public static ChannelFactory<NioDatagramChannel> datagrams() {
        return opened(() -> new NioDatagramChannel(SocketProtocolFamily.INET));
    }

    private static <C extends Channel> ChannelFactory<C> opened(Supplier<C> open) {
        C channel = open.get();
        return () -> channel;
    }
}
