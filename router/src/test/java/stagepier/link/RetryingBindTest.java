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

/** A socket has to be bound again after any failure until it is stopped. */
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
        assertTrue(channel != null && channel.isActive(), "socket was not bound within 10 s");
        return channel;
    }

    @Test
    void refusedBindIsRetried() throws Exception {
        AtomicInteger refusals = new AtomicInteger(2);
        RetryingBind retryingBind = new RetryingBind(
                loop,
                () -> {
                    if (refusals.getAndDecrement() > 0) {
                        throw new ChannelException("refused");
                    }
                    return bind();
                },
                cause -> {});
        loop.execute(retryingBind::start);
        nextBound();
        loop.submit(retryingBind::stop).sync();
    }

    @Test
    void socketClosedByAnErrorIsBoundAgainAndAStoppedOneIsNot() throws Exception {
        RetryingBind retryingBind = new RetryingBind(loop, this::bind, cause -> {});
        loop.execute(retryingBind::start);
        Channel first = nextBound();
        first.close().sync();
        Channel second = nextBound();
        assertNotEquals(first, second);
        loop.submit(retryingBind::stop).sync();
        second.closeFuture().sync();
        assertTrue(loop.submit(() -> retryingBind.channel() == null).get());
    }
}
