package stagepier.lab.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Staff at a router's console: one line a connection, one line back. */
final class Console {
    /** A caller waits so long, however busy the router is. */
    private static final int WAIT_MS = 1000;

    private Console() {}

    /**
     * The answer to one call.
     *
     * @throws IOException where there is none within 1 s
     */
    static String call(int port, String line) throws IOException {
        try (Socket caller = new Socket()) {
            caller.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), WAIT_MS);
            caller.setSoTimeout(WAIT_MS);
            caller.getOutputStream().write((line + "\n").getBytes(StandardCharsets.ISO_8859_1));
            String answer = new BufferedReader(
                            new InputStreamReader(caller.getInputStream(), StandardCharsets.ISO_8859_1))
                    .readLine();
            if (answer == null) {
                throw new IOException("no answer to " + line);
            }
            return answer;
        }
    }

    /** Whether a call was answered with yes. */
    static boolean saysYes(int port, String line) throws IOException {
        return call(port, line).startsWith("OK");
    }
}
