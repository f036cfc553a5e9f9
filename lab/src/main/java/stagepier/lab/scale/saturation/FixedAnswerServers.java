package stagepier.lab.scale.saturation;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cache servers that answer each read at once with the same value, and do no work for it: what is measured with them
 * is the router. They keep no count and no model, unlike those of {@code standin}.
 */
final class FixedAnswerServers implements AutoCloseable {
    private static final int LONGEST_LINE = 8192;
    private static final String READ = "mg ";
    private static final String NO_OPERATION = "mn";
    /** The word that carries the request's number, which an answer has to repeat. */
    private static final String OPAQUE = " O";

    private final EventLoopGroup group;
    private final ByteBuf value;
    private final int valueBytes;
    private final List<Channel> listening = new ArrayList<>();

    /** @param valueBytes of each answer */
    FixedAnswerServers(EventLoopGroup group, int valueBytes) {
        this.group = group;
        this.valueBytes = valueBytes;
        ByteBuf block = Unpooled.directBuffer(valueBytes + 2);
        for (int i = 0; i < valueBytes; i++) {
            block.writeByte('x');
        }
        value = Unpooled.unreleasableBuffer(block.writeByte('\r').writeByte('\n'));
    }

    /** Starts so many; waits until they listen. Not on an event loop. */
    void listen(int servers) throws InterruptedException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new LineBasedFrameDecoder(LONGEST_LINE), new Answers());
                    }
                });
        for (int server = 0; server < servers; server++) {
            listening.add(bootstrap.bind("127.0.0.1", 0).sync().channel());
        }
    }

    /** The ports of all, in the order in which they were started. */
    List<Integer> ports() {
        return listening.stream()
                .map(channel -> ((InetSocketAddress) channel.localAddress()).getPort())
                .toList();
    }

    @Override
    public void close() {
        listening.forEach(Channel::close);
    }

    /** The number that a command line carries, with its letter; empty where it carries none. */
    static String opaque(String line) {
        int from = line.indexOf(OPAQUE);
        if (from < 0) {
            return "";
        }
        int to = line.indexOf(' ', from + 1);
        return line.substring(from + 1, to < 0 ? line.length() : to);
    }

    /** One connection of a router. */
    private final class Answers extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            String line = bytes.toString(StandardCharsets.ISO_8859_1);
            if (line.startsWith(READ)) {
                write(ctx, "VA " + valueBytes + " " + opaque(line) + " h1\r\n");
                ctx.write(value.duplicate());
            } else if (line.equals(NO_OPERATION)) {
                write(ctx, "MN\r\n");
            } else {
                write(ctx, "CLIENT_ERROR reads only\r\n");
            }
        }

        private void write(ChannelHandlerContext ctx, String text) {
            ctx.write(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            ctx.flush();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
