package stagepier.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;

/** A client whose bytes stay in its socket until the link reads them, as much at a time as the link allows. */
final class BackPressuredClient extends EmbeddedClient {
    private final EmbeddedChannel loop;
    private final ByteBuf socket = Unpooled.buffer();
    private boolean reading;

    /** @param loop channel of the event loop on which the listener runs its tasks */
    BackPressuredClient(ClientListener clients, EmbeddedChannel loop) {
        super(clients);
        this.loop = loop;
    }

    @Override
    protected void doBeginRead() {
        reading = true;
    }

    void send(String text) {
        socket.writeCharSequence(text, StandardCharsets.ISO_8859_1);
        deliver();
    }

    /** Delivers what the link is willing to read, and lets the listener process it. */
    void deliver() {
        while (reading && socket.isReadable()) {
            reading = false;
            int most = unsafe().recvBufAllocHandle().guess();
            ByteBuf read = Unpooled.buffer(most, most);
            read.writeBytes(socket, Math.min(most, socket.readableBytes()));
            pipeline().fireChannelRead(read);
            pipeline().fireChannelReadComplete();
            loop.runPendingTasks();
            loop.runScheduledPendingTasks();
        }
    }
}
