import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** A client's connection to a router. */
final class Client implements AutoCloseable {
    /** What stands in place of an answer, or behind its first line, if it did not come whole. */
    static final String NO_ANSWER_IN_TIME = "(no answer in time)";

    static final String CLOSED = "(connection ended)";

    private final String name;
    private final Socket socket = new Socket();
    private final InputStream in;

    Client(String name, int port) throws IOException {
        this.name = name;
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
    }

    void send(String bytes) throws IOException {
        socket.getOutputStream().write(Rig.bytes(bytes));
    }

    /** Returns the next line without its end; null if it does not come in time or the connection ends. */
    String readLine(double seconds) throws IOException {
        String line = readLineOrReason(seconds);
        return line == CLOSED || line == NO_ANSWER_IN_TIME ? null : line;
    }

    /** Returns the next line without its end, or one of the two constants. */
    @SuppressWarnings("StringEquality")
    String readLineOrReason(double seconds) {
        StringBuilder line = new StringBuilder();
        long until = System.nanoTime() + (long) (seconds * 1e9);
        try {
            while (true) {
                setTimeout(until);
                int c = in.read();
                if (c < 0) {
                    return CLOSED;
                }
                if (c == '\n') {
                    int end = line.length();
                    return line.substring(0, end > 0 && line.charAt(end - 1) == '\r' ? end - 1 : end);
                }
                line.append((char) c);
            }
        } catch (SocketTimeoutException e) {
            return NO_ANSWER_IN_TIME;
        } catch (IOException e) {
            return CLOSED;
        }
    }

    /** Reads a value and its line end; returns null if it came whole, or else a constant. */
    String readValue(int length, double seconds) {
        long until = System.nanoTime() + (long) (seconds * 1e9);
        byte[] buffer = new byte[1 << 14];
        try {
            for (int left = length + 2; left > 0; ) {
                setTimeout(until);
                int n = in.read(buffer, 0, Math.min(left, buffer.length));
                if (n < 0) {
                    return CLOSED;
                }
                left -= n;
            }
            return null;
        } catch (SocketTimeoutException e) {
            return NO_ANSWER_IN_TIME;
        } catch (IOException e) {
            return CLOSED;
        }
    }

    private void setTimeout(long until) throws IOException {
        if (in.available() > 0) {
            return;
        }
        long left = (until - System.nanoTime()) / 1_000_000;
        if (left <= 0) {
            throw new SocketTimeoutException();
        }
        socket.setSoTimeout((int) left);
    }

    /** Reads one whole answer: its first line, or a constant if it does not come whole. */
    String readAnswer(double seconds) {
        long from = System.nanoTime();
        String line = readLineOrReason(seconds);
        if (line.startsWith("VA ")) {
            int length = Integer.parseInt(line.split(" ")[1]);
            String broken = readValue(length, seconds - (System.nanoTime() - from) / 1e9);
            return broken == null ? line : line + " " + broken;
        }
        return line;
    }

    String name() {
        return name;
    }

    static String read(String key, String id, String requestClass, int waitMs) {
        return "mg " + key + " v O" + id + " Pc=" + requestClass + ",t=national-open,d=" + waitMs + "\r\n";
    }

    static String write(String key, String id, String requestClass, int waitMs) {
        return "ms " + key + " 5 O" + id + " Pc=" + requestClass + ",t=national-open,d=" + waitMs + ",k=" + id
                + "\r\nhello\r\n";
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
