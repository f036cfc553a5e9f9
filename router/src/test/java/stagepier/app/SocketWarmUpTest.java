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

/** Prevents a warm-up that waits for a call without end and so keeps the router from serving. */
@Timeout(20)
class SocketWarmUpTest {
    /** Behaviour of the stand-in console on a call. */
    private enum Console {
        ANSWERS,
        CLOSES,
        SILENT,
        REFUSES
    }

    private static int callsUntilDone(Console behaviour) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ServerSocket console = Rehearsal.listen();
        try {
            EventLoop loop = group.next();
            Thread consoleThread = new Thread(() -> {
                try {
                    while (behaviour != Console.REFUSES) {
                        Socket caller = console.accept();
                        calls.incrementAndGet();
                        if (behaviour == Console.ANSWERS) {
                            Rehearsal.write(caller, "ERR starting\n");
                        }
                        if (behaviour != Console.SILENT) {
                            caller.close();
                        }
                    }
                } catch (IOException e) {
                    // The test is over.
                    calls.addAndGet(0);
                }
            });
            consoleThread.start();
            InetSocketAddress address = new InetSocketAddress(console.getInetAddress(), console.getLocalPort());
            if (behaviour == Console.REFUSES) {
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
    void callsConsoleManyTimesIfItAnswers() throws Exception {
        assertTrue(callsUntilDone(Console.ANSWERS) >= 100);
    }

    @Test
    void completesIfConsoleDoesNotAnswer() throws Exception {
        callsUntilDone(Console.CLOSES);
        callsUntilDone(Console.SILENT);
        callsUntilDone(Console.REFUSES);
    }
}
