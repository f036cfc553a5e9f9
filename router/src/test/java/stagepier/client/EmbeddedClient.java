package stagepier.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;

/** A client's connection without a socket, served by a listener; all of its answers are kept until a test reads them. */
class EmbeddedClient extends EmbeddedChannel {
    EmbeddedClient(ClientListener clients) {
        super(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                clients.adopt(channel);
            }
        });
    }

    /** Lets bytes arrive at the link; the listener processes them in a task of its event loop. */
    final void write(String text) {
        writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    /** Returns the answers since the last call. */
    final String answers() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf bytes = readOutbound(); bytes != null; bytes = readOutbound()) {
            text.append(bytes.toString(StandardCharsets.ISO_8859_1));
            bytes.release();
        }
        return text.toString();
    }
}
