package stagepier.lab.scale.saturation;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.apache.commons.rng.UniformRandomProvider;
import stagepier.lab.model.Randoms;

/**
 * Connections that each ask again as soon as they are answered, so that the router is never without work. One that is
 * refused comes again when it was told to, at the earliest after a millisecond.
 */
final class ClosedLoopClients implements AutoCloseable {
    /**
     * What has ended so far.
     *
     * @param answered    requests that were answered with a value
     * @param valueBytes  of these
     * @param notAnswered requests that ended without
     */
    record Ended(long answered, long valueBytes, long notAnswered) {
        Ended since(Ended earlier) {
            return new Ended(
                    answered - earlier.answered, valueBytes - earlier.valueBytes, notAnswered - earlier.notAnswered);
        }
    }

    private static final int KEYS = 100_000;
    private static final int DEADLINE_MS = 1500;
    private static final int RETRY_AFTER_LEAST_MS = 1;

    private final EventLoopGroup group;
    private final int port;
    private final Randoms randoms;
    private final List<Channel> open = new ArrayList<>();
    private final AtomicLong requests = new AtomicLong();
    private final LongAdder answered = new LongAdder();
    private final LongAdder valueBytes = new LongAdder();
    private final LongAdder notAnswered = new LongAdder();
    private volatile boolean closing;

    /** @param port of the router */
    ClosedLoopClients(EventLoopGroup group, int port, Randoms randoms) {
        this.group = group;
        this.port = port;
        this.randoms = randoms;
    }

    /** Opens so many connections, each of which asks from then on. Waits; not on an event loop. */
    void start(int connections) throws InterruptedException {
        for (int number = 0; number < connections; number++) {
            UniformRandomProvider keys = randoms.of("client-" + number);
            open.add(new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new Client(keys));
                        }
                    })
                    .connect("127.0.0.1", port)
                    .sync()
                    .channel());
        }
    }

    Ended ended() {
        return new Ended(answered.sum(), valueBytes.sum(), notAnswered.sum());
    }

    /** Connections that the router has closed, or that broke, although they had work for it. */
    long lost() {
        return open.stream().filter(channel -> !channel.isActive()).count();
    }

    @Override
    public void close() {
        closing = true;
        open.forEach(Channel::close);
    }

    /** One connection; one request at a time. */
    private final class Client extends SimpleChannelInboundHandler<ByteBuf> {
        private final UniformRandomProvider keys;
        private final AnswerReader reader = new AnswerReader();

        Client(UniformRandomProvider keys) {
            this.keys = keys;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        private void ask(ChannelHandlerContext ctx) {
            String command = "mg %016x v O%016x Pc=%s,t=t0,d=%d\r\n"
                    .formatted(
                            keys.nextInt(KEYS) + 1L,
                            requests.incrementAndGet(),
                            SaturatedRouter.REQUEST_CLASS,
                            DEADLINE_MS);
            ctx.writeAndFlush(Unpooled.copiedBuffer(command, StandardCharsets.ISO_8859_1));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
            AnswerReader.Answer answer = reader.read(in);
            if (answer != null) {
                ended(ctx, answer);
            }
        }

        private void ended(ChannelHandlerContext ctx, AnswerReader.Answer answer) {
            if (answer.kind() == AnswerReader.Kind.VALUE) {
                answered.increment();
                valueBytes.add(answer.valueBytes());
                ask(ctx);
                return;
            }
            notAnswered.increment();
            int wait = Math.max(RETRY_AFTER_LEAST_MS, answer.retryAfterMs());
            ctx.executor().schedule(() -> askUnlessClosing(ctx), wait, TimeUnit.MILLISECONDS);
        }

        private void askUnlessClosing(ChannelHandlerContext ctx) {
            if (!closing && ctx.channel().isActive()) {
                ask(ctx);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
