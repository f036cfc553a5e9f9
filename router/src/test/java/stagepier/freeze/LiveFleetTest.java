package stagepier.freeze;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import stagepier.fleet.FleetConfig;
import stagepier.fleet.History;
import stagepier.fleet.TcpFleetRpc;
import stagepier.tasks.LiveTasks;

/** The same code on threads and TCP: guards against what one task at a time cannot show. */
@Timeout(60)
class LiveFleetTest {
    private static final Change CHANGE = new Change(Change.Kind.ADD_SERVER, "s-1", "a");
    private static final String NOW = "zone = \"UTC\"\n[[window]]\nname = \"now\"\nstart = 2026-01-01T00:00:00\n"
            + "rule = \"FREQ=DAILY\"\nduration = \"P2D\"\nscope = \"all\"\nreason = \"test\"\n";

    private final List<LiveTasks> tasks = new ArrayList<>();
    private final List<FreezeService> parts = new ArrayList<>();

    @AfterEach
    void stop() {
        tasks.forEach(LiveTasks::stop);
    }

    private void start(TreeMap<String, InetSocketAddress> members, String self, Path calendar) {
        LiveTasks mine = new LiveTasks(Clock.systemUTC());
        FleetConfig config = new FleetConfig(
                Path.of("fleet.toml"),
                "hash",
                self,
                members.get(self),
                members,
                calendar,
                Duration.ofSeconds(3),
                Duration.ofSeconds(2),
                null);
        TcpFleetRpc calls = new TcpFleetRpc(mine, config, 1);
        FreezeService part = new FreezeService(mine, calls, config, History.NONE, self.hashCode());
        part.start();
        calls.start();
        tasks.add(mine);
        parts.add(part);
    }

    private void all(Calendar.Permit permit) throws InterruptedException {
        BooleanSupplier holds = () -> parts.stream()
                .allMatch(p -> p.calendar()
                                .ask(CHANGE, Clock.systemUTC().instant(), System.nanoTime())
                                .permit()
                        == permit);
        long until = System.nanoTime() + Duration.ofSeconds(30).toNanos();
        while (!holds.getAsBoolean() && System.nanoTime() < until) {
            Thread.sleep(20);
        }
        assertTrue(
                holds.getAsBoolean(),
                () -> parts.stream().map(FreezeService::status).toList().toString());
    }

    @Test
    void fiveAgreeAndEndInTime(@TempDir Path dir) throws IOException, InterruptedException {
        TreeMap<String, InetSocketAddress> members = new TreeMap<>();
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            ServerSocket socket = new ServerSocket(0);
            sockets.add(socket);
            members.put("r" + i, new InetSocketAddress("127.0.0.1", socket.getLocalPort()));
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        for (String name : members.keySet()) {
            Files.writeString(dir.resolve(name), "");
            start(members, name, dir.resolve(name));
        }
        all(Calendar.Permit.OPEN);
        Files.writeString(dir.resolve("r3"), "nonsense");
        parts.get(3).reload();
        Files.writeString(dir.resolve("r3"), NOW);
        parts.get(3).reload();
        all(Calendar.Permit.FROZEN);
        assertTrue(parts.get(0).status().get(0).contains("by now"), parts.get(0).status()::toString);
        assertEquals(1, parts.stream().map(FreezeService::version).distinct().count());
        long before = System.nanoTime();
        tasks.get(0).stop();
        assertTrue(System.nanoTime() - before < Duration.ofSeconds(2).toNanos(), "a task does not end");
        tasks.remove(0);
        parts.remove(0);
        all(Calendar.Permit.FROZEN);
    }
}
