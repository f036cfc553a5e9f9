package stagepier.peers;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import stagepier.Api;

/**
 * The two forms of what routers tell each other, in datagrams and on the simulator's wire. Version 1, of a plain
 * report: a version, a count, then for each server its number in four bytes and one byte with its attempts in flight (7
 * bits) and its circuit (1 bit). Version 2 has between count and servers: the zone (1 byte), the window in milliseconds
 * (2 bytes), the weight (a float of 4 bytes) and how many servers without an open circuit the sender has attempts at (2
 * bytes). Free of I/O. What is too much for one message is left out: the module puts first what matters most.
 */
public final class PeerReportCodec {
    /** Bytes of a message at the most, as the platform has it. */
    public static final int BYTES_MOST = 256;

    private static final byte PLAIN = 1;
    private static final byte WEIGHTED = 2;
    private static final int HEADER = 2;
    private static final int HEADER_WEIGHTED = HEADER + 9;
    private static final int ENTRY = 5;
    /** Servers in one message at the most. */
    public static final int ENTRIES_MOST = (BYTES_MOST - HEADER) / ENTRY;
    /** Servers in one message of version 2 at the most. */
    public static final int ENTRIES_MOST_WEIGHTED = (BYTES_MOST - HEADER_WEIGHTED) / ENTRY;

    private static final int IN_FLIGHT_MOST = 0x7f;
    private static final int OPEN = 0x80;
    private static final int BYTE = 0xff;
    private static final int SHORT = 0xffff;
    private static final long NUMBER = 0xffffffffL;
    private static final double MILLIS = 1e3;

    private PeerReportCodec() {}

    /** Whether a server can be told of: its name has to be a number of 32 bits. */
    static boolean canName(Api.ServerReport entry) {
        return (entry.server() & ~NUMBER) == 0;
    }

    /** Bytes of a plain message with so many entries, on the mean of several. */
    static double plainBytes(double entries) {
        return HEADER + ENTRY * Math.min(entries, ENTRIES_MOST);
    }

    /** Bytes of a message of version 2 with so many entries, on the mean of several. */
    static double weightedBytes(double entries) {
        return HEADER_WEIGHTED + ENTRY * Math.min(entries, ENTRIES_MOST_WEIGHTED);
    }

    /** Servers whose names are no numbers of 32 bits are left out, too. */
    public static byte[] encode(PeerReport report) {
        boolean plain = report.isPlain();
        List<Api.ServerReport> entries = report.entries().stream()
                .filter(PeerReportCodec::canName)
                .limit(plain ? ENTRIES_MOST : ENTRIES_MOST_WEIGHTED)
                .toList();
        ByteBuffer to = ByteBuffer.allocate((plain ? HEADER : HEADER_WEIGHTED) + ENTRY * entries.size());
        to.put(plain ? PLAIN : WEIGHTED).put((byte) entries.size());
        if (!plain) {
            to.put((byte) report.zone())
                    .putShort((short) Math.round(report.window() * MILLIS))
                    .putFloat((float) report.weight())
                    .putShort((short) Math.min(SHORT, report.closedServers()));
        }
        for (Api.ServerReport n : entries) {
            to.putInt((int) n.server()).put((byte) (Math.min(IN_FLIGHT_MOST, n.inFlight()) | (n.open() ? OPEN : 0)));
        }
        return to.array();
    }

    /** @throws IllegalArgumentException where the bytes are no such message */
    public static PeerReport decode(byte[] message) {
        try {
            ByteBuffer from = ByteBuffer.wrap(message);
            byte version = from.get();
            int n = from.get() & BYTE;
            boolean plain = version == PLAIN;
            int header = plain ? HEADER : HEADER_WEIGHTED;
            if (!plain && version != WEIGHTED || message.length > BYTES_MOST || message.length != header + n * ENTRY) {
                throw malformed(message, "version " + version + ", " + n + " entries");
            }
            int zone = plain ? PeerReport.NO_ZONE : from.get() & BYTE;
            double window = plain ? PeerReport.WINDOW_LEAST : (from.getShort() & SHORT) / MILLIS;
            double weight = plain ? 1 : from.getFloat();
            int closedServers = plain ? 0 : from.getShort() & SHORT;
            List<Api.ServerReport> entries = entries(from, n);
            int closed = PeerReport.closed(entries);
            // Not so for no number, either.
            boolean weighs = weight >= 1 && weight < Double.POSITIVE_INFINITY;
            boolean counts = window >= PeerReport.WINDOW_LEAST && window <= PeerReport.WINDOW_MOST;
            if (entries.size() != n || !weighs || !counts || !plain && closedServers < closed) {
                throw malformed(message, "weight " + weight + ", window " + window + ", " + closedServers + " servers");
            }
            return new PeerReport(zone, window, weight, plain ? closed : closedServers, entries);
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("only " + message.length + " bytes", e);
        }
    }

    /** Fewer than told where a server is named twice: one message is one router's report, whatever it repeats. */
    private static List<Api.ServerReport> entries(ByteBuffer from, int n) {
        List<Api.ServerReport> entries = new ArrayList<>(n);
        Set<Long> named = new HashSet<>();
        for (int i = 0; i < n; i++) {
            long server = from.getInt() & NUMBER;
            int load = from.get() & BYTE;
            if (named.add(server)) {
                entries.add(new Api.ServerReport(server, load & IN_FLIGHT_MOST, (load & OPEN) != 0));
            }
        }
        return entries;
    }

    private static IllegalArgumentException malformed(byte[] message, String why) {
        return new IllegalArgumentException(why + ", " + message.length + " bytes");
    }
}
