package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import stagepier.settings.SettingsParser;

/** Prevents a warm-up whose synthetic requests are all refused, which would not compile the request path. */
class WarmUpTest {
    @Test
    void mostRequestsAreServed() throws Exception {
        var settings = SettingsParser.parse("""
                {"Classes":[{"Name":"read","Deadline":0.7,"Repeat":"idempotent"}],"Limits":{"MaxAttempts":3}}""");
        EventLoop loop = new DefaultEventLoop();
        try {
            CompletableFuture<Integer> done = new CompletableFuture<>();
            WarmUp.run(loop, settings, done::complete);
            int served = done.get(20, TimeUnit.SECONDS);
            assertTrue(served > 200, served + " requests served");
        } finally {
            loop.shutdownGracefully();
        }
    }
}
