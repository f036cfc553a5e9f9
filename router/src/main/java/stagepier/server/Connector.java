package stagepier.server;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;

/** Brings up connections to cache servers. */
@FunctionalInterface
public interface Connector {
    /**
     * @param setUp to be added to the new channel's pipeline before it is up
     * @throws io.netty.channel.ChannelException where the system has no socket now
     */
    ChannelFuture connect(ChannelHandler setUp, InetSocketAddress address);
}
