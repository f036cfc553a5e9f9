package stagepier.peers;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import stagepier.Api;

/**
 * The one form of what routers tell each other, in datagrams and on the simulator's wire: a version, a count, then for
 * each server its number in four bytes and one byte with its attempts in flight (7 bits) and its circuit (1 bit). Free of
 * I/O. What is too much for one message is left out: the module puts first what matters most.
 */
public final class NewsCodec {
    /** Bytes of a message at the most, as the platform has it. */
    public static final int BYTES_MOST = 256;
    private static final byte VERSION = 1;
    private static final int HEADER = 2;
    private static final int ENTRY = 5;
    /** Servers in one message at the most. */
    public static final int ENTRIES_MOST = (BYTES_MOST - HEADER) / ENTRY;
    private static final int IN_FLIGHT_MOST = 0x7f;
    private static final int OPEN = 0x80;
    private static final int BYTE = 0xff;
    private static final long NUMBER = 0xffffffffL;

    private NewsCodec() {
    }

    /** Servers whose names are no numbers of 32 bits are left out, too. */
    public static byte[] encode(List<Api.News> news) {
        List<Api.News> told = news.stream().filter(n -> (n.server() & ~NUMBER) == 0).limit(ENTRIES_MOST).toList();
        ByteBuffer to = ByteBuffer.allocate(HEADER + ENTRY * told.size()).put(VERSION).put((byte) told.size());
        for (Api.News n : told) {
            to.putInt((int) n.server()).put((byte) (Math.min(IN_FLIGHT_MOST, n.inFlight()) | (n.open() ? OPEN : 0)));
        }
        return to.array();
    }

    /** @throws IllegalArgumentException where the bytes are no such message */
    public static List<Api.News> decode(byte[] message) {
        try {
            ByteBuffer from = ByteBuffer.wrap(message);
            byte version = from.get();
            int n = from.get() & BYTE;
            if (version != VERSION || n > ENTRIES_MOST || from.remaining() != n * ENTRY) {
                throw new IllegalArgumentException("version " + version + ", " + n + " entries, " + message.length + " bytes");
            }
            List<Api.News> news = new ArrayList<>(n);
            for (int i = 0; i < n; i++) {
                long server = from.getInt() & NUMBER;
                int load = from.get() & BYTE;
                news.add(new Api.News(server, load & IN_FLIGHT_MOST, (load & OPEN) != 0));
            }
            return news;
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("only " + message.length + " bytes", e);
        }
    }
}
