package stagepier.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import stagepier.Api;
import stagepier.peers.PeerReports;

/** Collects one reply in a reused buffer: a header (length, number of records), then the records. */
final class ReplyWriter {
    // Record codes of the wire.
    static final int SEND = 1020;
    static final int CANCEL = 1070;
    static final int REFUSE = 1110;
    static final int FAIL = 1030;
    static final int SET_TIMER = 1040;
    static final int PROBE = 1000;
    static final int CLOSE_IDLE = 1060;
    static final int WATCH_MEMBERS = 1050;
    static final int PEER_MESSAGE = 1010;
    static final int LOG_LINE = 1100;
    static final int FAULT = 1090;
    private static final int HEADER_BYTES = 8;
    private static final int MAX_TEXT_CHARS = 2000;

    private byte[] bytes = new byte[1 << 16];
    private int length = HEADER_BYTES;
    private int records;
    private double time;

    void flushTo(OutputStream out) throws IOException {
        putInt(0, length - HEADER_BYTES);
        putInt(4, records);
        out.write(bytes, 0, length);
        out.flush();
        length = HEADER_BYTES;
        records = 0;
    }

    void fault(int instance, String text) {
        text(FAULT, instance, text);
    }

    /** Sets the time of the records that follow. */
    void setTime(double now) {
        time = now;
    }

    /** Writes a message of one instance to all others. */
    private void peerMessage(int instance, byte[] message) {
        begin(PEER_MESSAGE, 8 + message.length, instance);
        u32(-1);
        u16(message.length);
        System.arraycopy(message, 0, bytes, length, message.length);
        length += message.length;
    }

    /** Returns the host of one instance, which writes the actions of its module as records. */
    Api.Host hostFor(int instance, PeerReports peers) {
        return new Api.Host() {
            @Override
            public void send(long request, long server, double timeout) {
                begin(SEND, 22, instance);
                u64(request);
                u32((int) server);
                u64(Double.doubleToRawLongBits(timeout));
            }

            @Override
            public void cancel(long request, int attempt) {
                begin(CANCEL, 11, instance);
                u64(request);
                bytes[length++] = (byte) attempt;
            }

            @Override
            public void refuse(long request, double retryAfter) {
                begin(REFUSE, 18, instance);
                u64(request);
                u64(Double.doubleToRawLongBits(retryAfter));
            }

            @Override
            public void fail(long request) {
                begin(FAIL, 10, instance);
                u64(request);
            }

            @Override
            public void setTimer(double delay, long token) {
                begin(SET_TIMER, 18, instance);
                u64(Double.doubleToRawLongBits(delay));
                u64(token);
            }

            @Override
            public void probe(long server) {
                begin(PROBE, 6, instance);
                u32((int) server);
            }

            @Override
            public void closeIdle(long server) {
                begin(CLOSE_IDLE, 6, instance);
                u32((int) server);
            }

            @Override
            public void watchMembers() {
                begin(WATCH_MEMBERS, 3, instance);
                bytes[length++] = 1;
            }

            @Override
            public void reportToPeers(List<Api.ServerReport> news) {
                byte[] message = peers.message(time, news);
                if (message != null) {
                    peerMessage(instance, message);
                }
            }

            @Override
            public Api.PeerTotals peerTotals(long server) {
                return peers.of(server);
            }

            @Override
            public double peerWeight() {
                return peers.weight();
            }

            @Override
            public void logMessage(String line) {
                text(LOG_LINE, instance, line);
            }
        };
    }

    private void text(int code, int instance, String text) {
        String cut = text.length() > MAX_TEXT_CHARS ? text.substring(0, MAX_TEXT_CHARS) : text;
        byte[] utf8 = cut.getBytes(StandardCharsets.UTF_8);
        begin(code, 4 + utf8.length, instance);
        u16(utf8.length);
        System.arraycopy(utf8, 0, bytes, length, utf8.length);
        length += utf8.length;
    }

    private void begin(int code, int fieldBytes, int instance) {
        if (bytes.length - length < 6 + fieldBytes) {
            bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, length + 6 + fieldBytes));
        }
        records++;
        u16(code);
        u32(fieldBytes);
        u16(instance);
    }

    private void u16(int v) {
        bytes[length++] = (byte) (v >> 8);
        bytes[length++] = (byte) v;
    }

    private void u32(int v) {
        putInt(length, v);
        length += 4;
    }

    private void u64(long v) {
        u32((int) (v >> 32));
        u32((int) v);
    }

    private void putInt(int at, int v) {
        bytes[at] = (byte) (v >> 24);
        bytes[at + 1] = (byte) (v >> 16);
        bytes[at + 2] = (byte) (v >> 8);
        bytes[at + 3] = (byte) v;
    }
}
