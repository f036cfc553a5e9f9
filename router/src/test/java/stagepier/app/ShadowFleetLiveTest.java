package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs three complete routers over sockets with one candidate map. */
@Timeout(120)
class ShadowFleetLiveTest {
    private static final int ROUTERS = 3;
    private static final long WAIT_S = 60;
    private static final String CANDIDATE = """
            version = 1
            slice = 10000
            classes = ["read"]
            [budget]
            copies_per_second = 300
            fetches_per_second = 300
            [verdict]
            margin = 0.5
            [[servers]]
            name = "s-00000002"
            """;

    @TempDir
    private Path folder;

    private final List<Config> configs = new ArrayList<>();
    private final List<Router> routers = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final List<Integer> consoles = new ArrayList<>();

    private Path fleet(int... links) throws Exception {
        StringBuilder text = new StringBuilder("lease_ms = 3000\nskew_ms = 500\ncandidate = \"candidate.toml\"\n");
        for (int i = 0; i < links.length; i++) {
            text.append("[[member]]\nname = \"n")
                    .append(i)
                    .append("\"\naddress = \"127.0.0.1:")
                    .append(links[i])
                    .append("\"\n");
        }
        return Files.writeString(folder.resolve("fleet.toml"), text.toString());
    }

    private static Config config(String known, int discovery, int port, int console, String name, Path fleet)
            throws Exception {
        return Config.parse(
                """
                {"listen":"127.0.0.1:%d","console":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"1","limits":{"sockets":256},
                "settings":%s,"known":%s}""".formatted(port, console, discovery, RouterProcess.SETTINGS, known),
                Map.of("GW_FLEET", fleet.toString(), "GW_NAME", name));
    }

    /** Waits until a status line of a router matches and returns that line. */
    private String awaitLine(int router, Predicate<String> wanted) throws Exception {
        List<String> seen = new ArrayList<>();
        for (long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S); System.nanoTime() < deadline; ) {
            seen.clear();
            try (Socket console = new Socket(InetAddress.getLoopbackAddress(), consoles.get(router))) {
                console.setSoTimeout(200);
                Rehearsal.write(console, "STATUS\n");
                BufferedReader in = Rehearsal.reader(console);
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    seen.add(line);
                    if (wanted.test(line)) {
                        return line;
                    }
                }
            } catch (java.net.SocketTimeoutException e) {
                // All lines have been read.
                Thread.sleep(50);
            }
            sendRequests(50);
        }
        throw new AssertionError("no matching line in " + seen);
    }

    /** Requests some keys from all routers and asserts that each answer comes from a cache server. */
    private void sendRequests(int requests) throws Exception {
        for (int port : ports) {
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
                client.setSoTimeout(5000);
                BufferedReader in = Rehearsal.reader(client);
                for (int i = 0; i < requests; i++) {
                    Rehearsal.write(client, "mg %016x v Or%d Pc=read,d=1900\r\n".formatted(i + 1, System.nanoTime()));
                    assertTrue(in.readLine().startsWith("VA 2 Or"));
                    assertEquals("hi", in.readLine());
                }
            }
        }
    }

    @Test
    void threeRoutersTestCandidateTogether() throws Exception {
        Path file = folder.resolve("candidate.toml");
        Files.writeString(file, CANDIDATE);
        Path fleet = fleet(Rehearsal.freePort(), Rehearsal.freePort(), Rehearsal.freePort());
        try (StandInCache one = new StandInCache();
                StandInCache two = new StandInCache();
                StandInAgent agent = new StandInAgent()) {
            String known = StandInAgent.known(
                    StandInAgent.entry(1, one.port(), "up"), StandInAgent.entry(2, two.port(), "up"));
            for (int i = 0; i < ROUTERS; i++) {
                ports.add(Rehearsal.freePort());
                consoles.add(Rehearsal.freePort());
                configs.add(config(known, agent.port(), ports.get(i), consoles.get(i), "n" + i, fleet));
                Router router = new Router(configs.get(i));
                routers.add(router);
                router.start().get(30, TimeUnit.SECONDS);
            }
            for (int i = 0; i < ROUTERS; i++) {
                awaitLine(
                        i,
                        l -> l.startsWith("shadow: candidate 1-")
                                && l.contains(" on, ")
                                && l.contains("heard of 3 of 3 routers"));
                awaitLine(i, l -> l.startsWith("shadow counts:") && l.contains(" same=") && !l.contains(" wrong="));
            }
            // The verdict depends on the load of the machine, but the reloaded router must report the requested
            // promotion.
            Files.writeString(file, CANDIDATE.replace("[budget]", "[promotion]\nwish = \"promote\"\n[budget]"));
            routers.get(0).reload(configs.get(0));
            awaitLine(
                    0,
                    l -> l.startsWith("promotion: ")
                            && (l.contains("(not promoted: the verdict is ") || l.contains(" agreed")));
        } finally {
            for (Router router : routers) {
                router.stop().get(30, TimeUnit.SECONDS);
            }
        }
    }

    @Test
    void invalidCandidateIsReportedWithFileLineAndKey() throws Exception {
        Files.writeString(folder.resolve("candidate.toml"), CANDIDATE.replace("slice = 10000", "slice = 0"));
        Path fleet = fleet(1, 2, 3);
        Config config = config(StandInAgent.known(), 1, 1, 1, "n0", fleet);
        Config.InvalidConfigException e = assertThrows(Config.InvalidConfigException.class, () -> new Router(config));
        assertTrue(
                e.getMessage().endsWith("candidate.toml: line 2: key slice: must lie between 1.0 and 10000.0"),
                e.getMessage());
    }
}
