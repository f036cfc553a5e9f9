package stagepier.console;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.ObjLongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.link.AcceptControl;
import stagepier.link.RetryingBind;
import stagepier.link.Sockets;

/** The door for staff: owns its listening socket and the callers' links. */
public final class ConsoleListener {
    private static final Logger LOG = LoggerFactory.getLogger(ConsoleListener.class);
    private static final int BACKLOG = 64;
    /** Links that there may be: more callers at a time make the oldest leave, so that silent ones keep nobody out. */
    private static final int LINKS_MOST = 16;

    private final EventLoop loop;
    private final Operations operations;
    private final RetryingBind bind;
    private final Set<ConsoleLink> links = new LinkedHashSet<>();
    private long calls;
    private long refused;

    public ConsoleListener(EventLoop loop, InetSocketAddress address, Operations operations) {
        this.loop = loop;
        this.operations = operations;
        bind = new RetryingBind(
                loop, () -> bind(address), why -> LOG.warn("no console yet at {}: {}", address, why.getMessage()));
    }

    /** Listens, and tries until it can: a router without its console serves all the same. On the event loop. */
    public void start() {
        bind.start();
    }

    private ChannelFuture bind(InetSocketAddress address) {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(Sockets.listening())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .handler(new AcceptControl(why -> LOG.warn("a caller was not accepted: {}", why.getMessage())))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        new ConsoleLink(ConsoleListener.this, channel);
                    }
                })
                .bind(address);
    }

    EventLoop loop() {
        return loop;
    }

    void opened(ConsoleLink link) {
        if (links.size() >= LINKS_MOST) {
            links.iterator().next().leave();
        }
        links.add(link);
    }

    void closed(ConsoleLink link) {
        links.remove(link);
    }

    /** Does the call in a line and returns the answer with its line end. */
    String call(String line) {
        calls++;
        try {
            ConsoleCommand command = ConsoleProtocol.parse(line);
            Operations.Result result = operations.call(command);
            if (!(command instanceof ConsoleCommand.Status)) {
                LOG.info("console: {}: {}", command, result.text());
            }
            return ConsoleProtocol.answer(result);
        } catch (InvalidCommandException e) {
            return refusal(e.getMessage());
        }
    }

    String refusal(String why) {
        refused++;
        return ConsoleProtocol.answer(Operations.Result.no(why));
    }

    public void count(ObjLongConsumer<String> to) {
        to.accept("console_links", links.size());
        to.accept("console_calls", calls);
        to.accept("console_refused", refused);
    }
}
