package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;

/** A member of staff at the console of a router on loopback: one line a connection. */
final class ConsoleCaller {
    /** A caller waits for so long, however busy the router is. */
    private static final int ANSWER_MOST_MS = 1000;

    private ConsoleCaller() {}

    /** The answer to a call. */
    static String call(int port, String line) throws IOException {
        return raw(port, line + "\n");
    }

    /** The one line that comes for these bytes. */
    static String raw(int port, String bytes) throws IOException {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.setSoTimeout(ANSWER_MOST_MS);
            Rehearsal.write(caller, bytes);
            BufferedReader in = Rehearsal.reader(caller);
            String answer = in.readLine();
            assertNull(in.readLine(), "one line, and the end");
            return answer;
        }
    }
}
