package stagepier.lab.scale;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A load report as it was seen on its way, read by its bytes alone.
 *
 * @param at seconds
 */
record SentReport(double at, byte[] bytes) {
    private static final int HEADER_PLAIN = 2;
    private static final int HEADER_WEIGHTED = 7;
    private static final int ENTRY = 5;
    private static final int BYTE = 0xff;
    private static final int IN_FLIGHT = 0x7f;
    private static final int CIRCUIT_OPEN = 0x80;

    int version() {
        return bytes[0];
    }

    boolean isEmpty() {
        return bytes[1] == 0;
    }

    /** What it tells; null where its length and its count do not go together. */
    List<ServerLoad> loads() {
        int header = version() == 1 ? HEADER_PLAIN : HEADER_WEIGHTED;
        int count = bytes[1] & BYTE;
        if (bytes.length != header + ENTRY * count) {
            return null;
        }
        ByteBuffer from = ByteBuffer.wrap(bytes).position(header);
        List<ServerLoad> loads = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int server = from.getInt();
            int load = from.get();
            loads.add(new ServerLoad(server, load & IN_FLIGHT, (load & CIRCUIT_OPEN) != 0));
        }
        return loads;
    }
}
