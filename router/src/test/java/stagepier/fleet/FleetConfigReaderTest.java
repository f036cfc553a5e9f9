package stagepier.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

@Timeout(20)
class FleetConfigReaderTest {
    @TempDir
    Path folder;

    record InvalidFile(int line, String key, String problem, String text) {
        @Override
        public String toString() {
            return key + ": " + problem;
        }
    }

    static List<InvalidFile> invalidFiles() throws IOException {
        try (InputStream in = FleetConfigReaderTest.class.getResourceAsStream("bad-fleet.txt")) {
            String all = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            List<InvalidFile> cases = Arrays.stream(all.split("(?m)^### "))
                    .skip(1)
                    .map(c -> {
                        String[] head = c.substring(0, c.indexOf('\n')).split(" \\| ", 3);
                        return new InvalidFile(
                                Integer.parseInt(head[0]), head[1], head[2], c.substring(c.indexOf('\n') + 1));
                    })
                    .toList();
            assertTrue(cases.size() >= 40, "only " + cases.size() + " invalid files in bad-fleet.txt");
            return cases;
        }
    }

    @ParameterizedTest
    @MethodSource("invalidFiles")
    void reportsFileLineAndKeyInOneLine(InvalidFile invalid) throws IOException {
        Path file = Files.writeString(folder.resolve("fleet.toml"), invalid.text());
        String message = assertThrows(InvalidFleetFileException.class, () -> FleetConfigReader.read(file, "a"))
                .getMessage();
        String expected = file + ": line " + invalid.line() + ": key " + invalid.key() + ": " + invalid.problem();
        assertTrue(message.startsWith(expected), () -> message + "\n instead of\n" + expected);
        assertFalse(message.contains("\n"));
        if (!invalid.problem().startsWith("is no TOML")) {
            assertEquals(expected, message);
        }
    }

    @Test
    void reportsUnreadableNonUtf8AndOversizedFiles() throws IOException {
        Path file = folder.resolve("fleet.toml");
        assertError(file, "line 1: key -: cannot be read");
        Files.write(file, new byte[] {(byte) 0xff, (byte) 0xfe, 'a'});
        assertError(file, "line 1: key -: is not in UTF-8");
        Files.writeString(file, "#".repeat((int) FleetConfigReader.MAX_FILE_BYTES + 1));
        assertError(file, "line 1: key -: is larger than 262144 bytes");
        Files.writeString(file, fleetOf(FleetConfigReader.MAX_MEMBERS + 1));
        assertError(file, "line 1: key member: 1001 routers are named; at most 1000");
    }

    private static void assertError(Path file, String message) {
        assertEquals(
                file + ": " + message,
                assertThrows(InvalidFleetFileException.class, () -> FleetConfigReader.read(file, "r-1"))
                        .getMessage());
    }

    private static String fleetOf(int members) {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= members; i++) {
            text.append("[[member]]\nname = \"r-")
                    .append(i)
                    .append("\"\naddress = \"10.0.0.1:")
                    .append(i)
                    .append("\"\n");
        }
        return text.toString();
    }

    static Stream<String> validFiles() {
        return Stream.of(
                "[[member]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n",
                "[[member]]\n\"name\" = 'a' # the first\naddress = \"126.254.1.2:65535\"\n",
                "member = [{ name = \"a\", address = \"10.0.0.1:7400\" }]\nlease_ms = 60_000\nskew_ms = 0\n");
    }

    @ParameterizedTest
    @MethodSource("validFiles")
    void acceptsValidFiles(String text) throws IOException, InvalidFleetFileException {
        FleetConfig config = FleetConfigReader.read(Files.writeString(folder.resolve("fleet.toml"), text), "a");
        assertEquals("a", config.self());
        assertTrue(config.members().containsKey("a"));
    }

    @Test
    void readsEveryKey() throws IOException, InvalidFleetFileException {
        Path file = Files.writeString(folder.resolve("fleet.toml"), """
                listen = "127.0.0.1:9000"
                lease_ms = 1000
                skew_ms = 10000
                calendar = "calendar.toml"
                candidate = "/etc/stagepier/candidate.toml"
                [[member]]
                name = "b"
                address = "10.0.0.2:7400"
                [[member]]
                name = "a"
                address = "10.0.0.1:7400"
                [[member]]
                name = "c"
                address = "10.0.0.3:7400"
                """);
        FleetConfig config = FleetConfigReader.read(file, "b");
        assertEquals(List.of("a", "b", "c"), List.copyOf(config.members().keySet()));
        assertEquals(new InetSocketAddress("10.0.0.2", 7400), config.members().get("b"));
        assertEquals(new InetSocketAddress("127.0.0.1", 9000), config.listen());
        assertEquals(Duration.ofSeconds(1), config.lease());
        assertEquals(Duration.ofSeconds(10), config.skew());
        assertEquals(folder.resolve("calendar.toml"), config.calendar());
        assertEquals(Path.of("/etc/stagepier/candidate.toml"), config.candidate());
        assertEquals(2, config.majority());
    }

    /** Only addresses may differ from router to router; all other values must be equal. */
    @Test
    void hashDependsOnMembersLeaseAndSkewButNotOnAddresses() throws IOException, InvalidFleetFileException {
        String hash = hash(fleetOf(3));
        assertEquals(16, hash.length());
        assertEquals(hash, hash("listen = \"127.0.0.1:9\"\n" + fleetOf(3).replace("10.0.0.1", "10.0.0.2")));
        assertNotEquals(hash, hash(fleetOf(4)));
        assertNotEquals(hash, hash("lease_ms = 3001\n" + fleetOf(3)));
        assertNotEquals(hash, hash("skew_ms = 1999\n" + fleetOf(3)));
    }

    private String hash(String text) throws IOException, InvalidFleetFileException {
        return FleetConfigReader.read(Files.writeString(folder.resolve("fleet.toml"), text), "r-1")
                .hash();
    }

    @Test
    void appliesDefaultsAndAcceptsTheLargestFleetAndTheExampleFile() throws IOException, InvalidFleetFileException {
        Path file = Files.writeString(folder.resolve("fleet.toml"), fleetOf(FleetConfigReader.MAX_MEMBERS));
        FleetConfig config = FleetConfigReader.read(file, "r-1000");
        assertEquals(Duration.ofSeconds(3), config.lease());
        assertEquals(Duration.ofSeconds(2), config.skew());
        assertEquals(config.members().get("r-1000"), config.listen());
        assertNull(config.calendar());
        assertNull(config.candidate());
        assertEquals(501, config.majority());
        assertEquals(
                3,
                FleetConfigReader.read(Path.of("..", "deploy", "fleet.toml"), "router-02")
                        .members()
                        .size());
    }
}
