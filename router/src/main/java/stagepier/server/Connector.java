package stagepier.server;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;

/** Opens connections to cache servers. */
@FunctionalInterface
public interface Connector {
    /**
     * @param initializer added to the pipeline of the new channel before the channel is active
     * @throws io.netty.channel.ChannelException if the system cannot provide a socket at the moment
     */
    ChannelFuture connect(ChannelHandler initializer, InetSocketAddress address);
}
