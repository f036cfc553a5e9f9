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

/** Listens for console connections of the operators: owns the listening socket and the connections. */
public final class ConsoleListener {
    private static final Logger LOG = LoggerFactory.getLogger(ConsoleListener.class);
    private static final int BACKLOG = 64;
    /**
     * Limit of open connections. A further caller closes the oldest connection, so that silent ones cannot block the
     * console.
     */
    private static final int MAX_LINKS = 16;

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
                loop,
                () -> bind(address),
                cause -> LOG.warn("cannot bind the console at {}: {}; retrying", address, cause.getMessage()));
    }

    /**
     * Binds the socket, with retries until that succeeds: a router also serves without its console. On the event loop.
     */
    public void start() {
        bind.start();
    }

    private ChannelFuture bind(InetSocketAddress address) {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(Sockets.listening())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .handler(new AcceptControl(
                        cause -> LOG.warn("cannot accept a console connection: {}", cause.getMessage())))
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

    void linkOpened(ConsoleLink link) {
        if (links.size() >= MAX_LINKS) {
            links.iterator().next().giveUpSlot();
        }
        links.add(link);
    }

    void linkClosed(ConsoleLink link) {
        links.remove(link);
    }

    /** Runs the command in a line and returns the answer with its line end. */
    String handleLine(String line) {
        calls++;
        try {
            ConsoleCommand command = ConsoleProtocol.parse(line);
            Operations.Result result = operations.call(command);
            if (!(command instanceof ConsoleCommand.Status)) {
                LOG.info("console command {}: {}", command, result.text());
            }
            return ConsoleProtocol.answer(result);
        } catch (InvalidCommandException e) {
            return refusal(e.getMessage());
        }
    }

    String refusal(String reason) {
        refused++;
        return ConsoleProtocol.answer(Operations.Result.no(reason));
    }

    public void count(ObjLongConsumer<String> to) {
        to.accept("console_links", links.size());
        to.accept("console_calls", calls);
        to.accept("console_refused", refused);
    }
}
