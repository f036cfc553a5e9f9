package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;

/** A console client on loopback that sends one line per connection. */
final class ConsoleClient {
    /** Time-out of a call, even to a busy router. */
    private static final int ANSWER_TIMEOUT_MS = 1000;

    private ConsoleClient() {}

    /** Sends a line and returns the answer. */
    static String call(int port, String line) throws IOException {
        return raw(port, line + "\n");
    }

    /** Sends bytes and returns the answer, which must be a single line. */
    static String raw(int port, String bytes) throws IOException {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.setSoTimeout(ANSWER_TIMEOUT_MS);
            Rehearsal.write(caller, bytes);
            BufferedReader in = Rehearsal.reader(caller);
            String answer = in.readLine();
            assertNull(in.readLine(), "more than one line");
            return answer;
        }
    }
}
