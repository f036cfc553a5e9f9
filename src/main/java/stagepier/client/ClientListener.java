package stagepier.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.ObjLongConsumer;
import java.util.function.Supplier;
import stagepier.exchange.ModuleHost;

/** Accepts clients; owns the listening socket and knows all client links. */
public final class ClientListener {
    private static final int BACKLOG = 512;

    private final ModuleHost host;
    private final Supplier<String> stats;
    private final Set<ClientLink> links = new LinkedHashSet<>();
    private Channel listening;
    private long opened;
    private long malformed;

    /** @param stats the answer to {@code stats}, less its last line end */
    public ClientListener(ModuleHost host, Supplier<String> stats) {
        this.host = host;
        this.stats = stats;
    }

    public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        new ClientLink(ClientListener.this, channel);
                    }
                }).bind(address);
        listening = bound.channel();
        return bound;
    }

    /** Takes no more connections and no more requests; links close when all they took is answered. */
    public void leave() {
        if (listening != null) {
            listening.close();
        }
        new ArrayList<>(links).forEach(ClientLink::leave);
    }

    public boolean isEmpty() {
        return links.isEmpty();
    }

    ModuleHost host() {
        return host;
    }

    String stats() {
        return stats.get();
    }

    void opened(ClientLink link) {
        opened++;
        links.add(link);
    }

    void closed(ClientLink link) {
        links.remove(link);
    }

    void malformed() {
        malformed++;
    }

    public void count(ObjLongConsumer<String> to) {
        to.accept("client_links", links.size());
        to.accept("client_links_opened", opened);
        to.accept("client_input_malformed", malformed);
    }
}
