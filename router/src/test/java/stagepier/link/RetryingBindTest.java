package stagepier.link;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A socket that is to be there whatever happens to it. */
@Timeout(30)
class RetryingBindTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Channel> bound = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() throws InterruptedException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private ChannelFuture bind() {
        return new Bootstrap()
                .group(loop)
                .channelFactory(Sockets.datagrams())
                .handler(new ChannelInboundHandlerAdapter())
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .addListener((ChannelFuture done) -> bound.add(done.channel()));
    }

    private Channel nextBound() throws InterruptedException {
        Channel channel = bound.poll(10, TimeUnit.SECONDS);
        assertTrue(channel != null && channel.isActive(), "never bound");
        return channel;
    }

    @Test
    void aSocketThatTheSystemRefusesIsTriedAgain() throws Exception {
        AtomicInteger refusals = new AtomicInteger(2);
        RetryingBind patient = new RetryingBind(
                loop,
                () -> {
                    if (refusals.getAndDecrement() > 0) {
                        throw new ChannelException("refused");
                    }
                    return bind();
                },
                why -> {});
        loop.execute(patient::start);
        nextBound();
        loop.submit(patient::stop).sync();
    }

    @Test
    void aSocketThatAnErrorClosesIsBoundAnewAndOneThatIsStoppedIsNot() throws Exception {
        RetryingBind patient = new RetryingBind(loop, this::bind, why -> {});
        loop.execute(patient::start);
        Channel first = nextBound();
        first.close().sync();
        Channel second = nextBound();
        assertNotEquals(first, second);
        loop.submit(patient::stop).sync();
        second.closeFuture().sync();
        assertTrue(loop.submit(() -> patient.channel() == null).get());
    }
}
