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
 * Opens the sockets of channels before a bootstrap uses them. A bootstrap that opens a socket itself would report a
 * failure to open it on another thread than the event loop.
 *
 * <p>Each method throws an {@link io.netty.channel.ChannelException} if the system cannot open a socket now. The
 * returned factory is for one connection or listening socket.
 */
public final class Sockets {
    private Sockets() {}

    /** Opens a TCP socket to be connected. */
    public static ChannelFactory<NioSocketChannel> connecting() {
        return openNow(InterruptibleSocketChannel::new);
    }

    /** Opens a TCP socket to listen. */
    public static ChannelFactory<NioServerSocketChannel> listening() {
        return openNow(InterruptibleServerSocketChannel::new);
    }

    /** Returns the factory for a TCP socket that already listens; opens nothing. */
    public static ChannelFactory<NioServerSocketChannel> listening(ServerSocketChannel socket) {
        return () -> new InterruptibleServerSocketChannel(socket);
    }

    /** Opens a UDP socket for IPv4. */
    public static ChannelFactory<NioDatagramChannel> datagrams() {
        return openNow(() -> new NioDatagramChannel(SocketProtocolFamily.INET));
    }

    private static <C extends Channel> ChannelFactory<C> openNow(Supplier<C> open) {
        C channel = open.get();
        return () -> channel;
    }
}
