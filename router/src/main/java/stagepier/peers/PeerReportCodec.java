package stagepier.peers;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import stagepier.Api;

/**
 * Encodes and decodes the two versions of the messages between routers, in datagrams and in the simulator. Version 1,
 * for a plain report: the version, the number of entries, then for each server its id (4 bytes) and one byte with its
 * attempts in flight (7 bits) and its circuit (1 bit). Version 2 has these fields between the number and the entries:
 * the zone (1 byte), the window in milliseconds (2 bytes), the weight (a 4-byte float) and the number of servers
 * without an open circuit at which the sender has attempts (2 bytes). Does no I/O. Entries that do not fit into one
 * message are left out: the routing module puts the most important ones first.
 */
public final class PeerReportCodec {
    /** Maximum size of a message in bytes, set by the platform. */
    public static final int MAX_BYTES = 256;

    private static final byte VERSION_PLAIN = 1;
    private static final byte VERSION_WEIGHTED = 2;
    private static final int HEADER_BYTES = 2;
    private static final int WEIGHTED_HEADER_BYTES = HEADER_BYTES + 9;
    private static final int ENTRY_BYTES = 5;
    /** Maximum number of servers in one message of version 1. */
    public static final int MAX_ENTRIES = (MAX_BYTES - HEADER_BYTES) / ENTRY_BYTES;
    /** Maximum number of servers in one message of version 2. */
    public static final int MAX_ENTRIES_WEIGHTED = (MAX_BYTES - WEIGHTED_HEADER_BYTES) / ENTRY_BYTES;

    private static final int MAX_IN_FLIGHT = 0x7f;
    private static final int OPEN_BIT = 0x80;
    private static final int BYTE_MASK = 0xff;
    private static final int SHORT_MASK = 0xffff;
    private static final long INT_MASK = 0xffffffffL;
    private static final double MILLIS_PER_SECOND = 1e3;

    private PeerReportCodec() {}

    /** Returns whether a server can be encoded: its id has to be a 32-bit number. */
    static boolean canEncode(Api.ServerReport entry) {
        return (entry.server() & ~INT_MASK) == 0;
    }

    /** Returns the size in bytes of a plain message with this number of entries, which may be an average. */
    static double plainBytes(double entries) {
        return HEADER_BYTES + ENTRY_BYTES * Math.min(entries, MAX_ENTRIES);
    }

    /** Returns the size in bytes of a message of version 2 with this number of entries, which may be an average. */
    static double weightedBytes(double entries) {
        return WEIGHTED_HEADER_BYTES + ENTRY_BYTES * Math.min(entries, MAX_ENTRIES_WEIGHTED);
    }

    /** Encodes a report. Servers whose ids are not 32-bit numbers are left out, too. */
    public static byte[] encode(PeerReport report) {
        boolean plain = report.isPlain();
        List<Api.ServerReport> entries = report.entries().stream()
                .filter(PeerReportCodec::canEncode)
                .limit(plain ? MAX_ENTRIES : MAX_ENTRIES_WEIGHTED)
                .toList();
        ByteBuffer buffer =
                ByteBuffer.allocate((plain ? HEADER_BYTES : WEIGHTED_HEADER_BYTES) + ENTRY_BYTES * entries.size());
        buffer.put(plain ? VERSION_PLAIN : VERSION_WEIGHTED).put((byte) entries.size());
        if (!plain) {
            buffer.put((byte) report.zone())
                    .putShort((short) Math.round(report.window() * MILLIS_PER_SECOND))
                    .putFloat((float) report.weight())
                    .putShort((short) Math.min(SHORT_MASK, report.closedServers()));
        }
        for (Api.ServerReport n : entries) {
            buffer.putInt((int) n.server())
                    .put((byte) (Math.min(MAX_IN_FLIGHT, n.inFlight()) | (n.open() ? OPEN_BIT : 0)));
        }
        return buffer.array();
    }

    /**
     * Decodes a message.
     *
     * @throws IllegalArgumentException if the bytes are not a valid message
     */
    public static PeerReport decode(byte[] message) {
        try {
            ByteBuffer from = ByteBuffer.wrap(message);
            byte version = from.get();
            int n = from.get() & BYTE_MASK;
            boolean plain = version == VERSION_PLAIN;
            int header = plain ? HEADER_BYTES : WEIGHTED_HEADER_BYTES;
            if (!plain && version != VERSION_WEIGHTED
                    || message.length > MAX_BYTES
                    || message.length != header + n * ENTRY_BYTES) {
                throw malformed(message, "version " + version + ", " + n + " entries");
            }
            int zone = plain ? PeerReport.NO_ZONE : from.get() & BYTE_MASK;
            double window = plain ? PeerReport.MIN_WINDOW : (from.getShort() & SHORT_MASK) / MILLIS_PER_SECOND;
            double weight = plain ? 1 : from.getFloat();
            int closedServers = plain ? 0 : from.getShort() & SHORT_MASK;
            List<Api.ServerReport> entries = entries(from, n);
            int closed = PeerReport.countClosed(entries);
            // Also false for NaN.
            boolean isValidWeight = weight >= 1 && weight < Double.POSITIVE_INFINITY;
            boolean isValidWindow = window >= PeerReport.MIN_WINDOW && window <= PeerReport.MAX_WINDOW;
            if (entries.size() != n || !isValidWeight || !isValidWindow || !plain && closedServers < closed) {
                throw malformed(message, "weight " + weight + ", window " + window + ", " + closedServers + " servers");
            }
            return new PeerReport(zone, window, weight, plain ? closed : closedServers, entries);
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("only " + message.length + " bytes", e);
        }
    }

    /**
     * Returns fewer entries than announced if a server occurs twice: a message is the report of one router, whatever it
     * repeats.
     */
    private static List<Api.ServerReport> entries(ByteBuffer from, int n) {
        List<Api.ServerReport> entries = new ArrayList<>(n);
        Set<Long> seen = new HashSet<>();
        for (int i = 0; i < n; i++) {
            long server = from.getInt() & INT_MASK;
            int load = from.get() & BYTE_MASK;
            if (seen.add(server)) {
                entries.add(new Api.ServerReport(server, load & MAX_IN_FLIGHT, (load & OPEN_BIT) != 0));
            }
        }
        return entries;
    }

    private static IllegalArgumentException malformed(byte[] message, String reason) {
        return new IllegalArgumentException(reason + ", " + message.length + " bytes");
    }
}
