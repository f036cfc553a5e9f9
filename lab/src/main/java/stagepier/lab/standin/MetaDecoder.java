package stagepier.lab.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.util.ByteProcessor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Takes lines of the memcache meta protocol, each with the data block that belongs to it. Written apart from the
 * router's parsers, for these are among what is tested.
 */
final class MetaDecoder extends ByteToMessageDecoder {
    /** A line and its data block; {@code firstByteAt}: when its first byte came, or went off where a relay lies between. */
    record Message(String line, String[] words, byte[] data, double firstByteAt) {
        /** The rest of the word that begins with this letter, from the third word on; empty where there is none. */
        String flag(char letter) {
            for (int i = 1; i < words.length; i++) {
                if (!words[i].isEmpty() && words[i].charAt(0) == letter && (i > 1 || letter == 'O')) {
                    return words[i].substring(1);
                }
            }
            return "";
        }

        /** A value of the list in the P flag; empty where there is none. */
        String attribute(String name) {
            for (String pair : flag('P').split(",")) {
                if (pair.startsWith(name + "=")) {
                    return pair.substring(name.length() + 1);
                }
            }
            return "";
        }
    }

    private static final int LARGEST_LINE = 8192;
    private final LabClock clock;
    private final SentTimes sent;
    /** Bytes of the messages before this one. */
    private long taken;

    private String line;
    private String[] words;
    private int length;
    private double firstByteAt = Double.NaN;

    MetaDecoder(LabClock clock, SentTimes sent) {
        this.clock = clock;
        this.sent = sent;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (Double.isNaN(firstByteAt)) {
            firstByteAt = firstByteAt(ctx);
        }
        int before = in.readerIndex();
        if (line == null) {
            int end = in.forEachByte(ByteProcessor.FIND_LF);
            if (end < 0) {
                if (in.readableBytes() > LARGEST_LINE) {
                    throw new IllegalStateException("line too long");
                }
                return;
            }
            String whole = in.readCharSequence(end + 1 - in.readerIndex(), StandardCharsets.ISO_8859_1)
                    .toString();
            line = whole.stripTrailing();
            words = line.split(" ");
            length = dataLength(words);
        }
        if (length >= 0 && in.readableBytes() < length + 2) {
            taken += in.readerIndex() - before;
            return;
        }
        byte[] data = null;
        if (length >= 0) {
            data = new byte[length];
            in.readBytes(data);
            in.skipBytes(2);
        }
        out.add(new Message(line, words, data, firstByteAt));
        line = null;
        taken += in.readerIndex() - before;
        firstByteAt = in.isReadable() ? firstByteAt(ctx) : Double.NaN;
    }

    private double firstByteAt(ChannelHandlerContext ctx) {
        int port = ctx.channel().remoteAddress() instanceof InetSocketAddress from ? from.getPort() : 0;
        return sent.at(port, taken, clock.now());
    }

    /** Bytes of the data block behind a line, or -1 where none follows. */
    private static int dataLength(String[] words) {
        if (words[0].equals("VA") && words.length > 1) {
            return Integer.parseInt(words[1]);
        }
        return words[0].equals("ms") && words.length > 2 ? Integer.parseInt(words[2]) : -1;
    }
}
