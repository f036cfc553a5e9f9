package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A warm-up that waits for a call which never ends would keep a router from ever serving. */
@Timeout(20)
class SocketWarmUpTest {
    /** What the stand-in for a console does with a call. */
    private enum Console {
        ANSWERS,
        CLOSES,
        SAYS_NOTHING,
        IS_NOT_THERE
    }

    private static int callsUntilDone(Console how) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ServerSocket console = Rehearsal.listen();
        try {
            EventLoop loop = group.next();
            Thread staff = new Thread(() -> {
                try {
                    while (how != Console.IS_NOT_THERE) {
                        Socket caller = console.accept();
                        calls.incrementAndGet();
                        if (how == Console.ANSWERS) {
                            Rehearsal.write(caller, "ERR starting\n");
                        }
                        if (how != Console.SAYS_NOTHING) {
                            caller.close();
                        }
                    }
                } catch (IOException e) {
                    // The test is over.
                    calls.addAndGet(0);
                }
            });
            staff.start();
            InetSocketAddress address = new InetSocketAddress(console.getInetAddress(), console.getLocalPort());
            if (how == Console.IS_NOT_THERE) {
                console.close();
            }
            CompletableFuture<Void> done = new CompletableFuture<>();
            loop.execute(() -> SocketWarmUp.run(loop, address, () -> done.complete(null)));
            done.get(10, TimeUnit.SECONDS);
        } finally {
            console.close();
            group.shutdownGracefully();
        }
        return calls.get();
    }

    @Test
    void callsManyTimesWhereTheConsoleAnswers() throws Exception {
        assertTrue(callsUntilDone(Console.ANSWERS) >= 100);
    }

    @Test
    void endsWhateverTheConsoleDoes() throws Exception {
        callsUntilDone(Console.CLOSES);
        callsUntilDone(Console.SAYS_NOTHING);
        callsUntilDone(Console.IS_NOT_THERE);
    }
}
