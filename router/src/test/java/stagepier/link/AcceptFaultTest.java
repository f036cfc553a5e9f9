package stagepier.link;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Prevents a fault in accepting one connection, such as a lack of memory, from closing the listening socket for good. */
class AcceptFaultTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final InterruptibleServerSocketChannel listening = new InterruptibleServerSocketChannel();

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    private void listen() throws InterruptedException {
        group.register(listening).sync();
        listening
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync();
    }

    @ParameterizedTest
    @ValueSource(classes = {OutOfMemoryError.class, IllegalStateException.class, IOException.class})
    void listeningSocketStaysOpenAfterAFaultInAccept(Class<? extends Throwable> fault) throws Exception {
        listen();
        assertFalse(listening.closeOnReadError(fault.getConstructor().newInstance()));
    }

    @Test
    void socketThatNoLongerListensIsClosed() throws Exception {
        listen();
        listening.close().sync();
        assertTrue(listening.closeOnReadError(new IOException()));
    }
}
