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

/**
 * Runs the agreement on threads and TCP, to find concurrency faults that the single-threaded simulation cannot show.
 */
@Timeout(60)
class LiveFleetTest {
    private static final Change CHANGE = new Change(Change.Kind.ADD_SERVER, "s-1", "a");
    private static final String NOW = "zone = \"UTC\"\n[[window]]\nname = \"now\"\nstart = 2026-01-01T00:00:00\n"
            + "rule = \"FREQ=DAILY\"\nduration = \"P2D\"\nscope = \"all\"\nreason = \"test\"\n";

    private final List<LiveTasks> tasks = new ArrayList<>();
    private final List<FreezeService> services = new ArrayList<>();

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
        FreezeService service = new FreezeService(mine, calls, config, History.NONE, self.hashCode());
        service.start();
        calls.start();
        tasks.add(mine);
        services.add(service);
    }

    private void awaitAll(Calendar.Permit permit) throws InterruptedException {
        BooleanSupplier condition = () -> services.stream()
                .allMatch(p -> p.calendar()
                                .ask(CHANGE, Clock.systemUTC().instant(), System.nanoTime())
                                .permit()
                        == permit);
        long deadline = System.nanoTime() + Duration.ofSeconds(30).toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
            Thread.sleep(20);
        }
        assertTrue(
                condition.getAsBoolean(),
                () -> services.stream().map(FreezeService::status).toList().toString());
    }

    @Test
    void fiveRoutersAgreeAndStopInTime(@TempDir Path dir) throws IOException, InterruptedException {
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
        awaitAll(Calendar.Permit.OPEN);
        Files.writeString(dir.resolve("r3"), "nonsense");
        services.get(3).reload();
        Files.writeString(dir.resolve("r3"), NOW);
        services.get(3).reload();
        awaitAll(Calendar.Permit.FROZEN);
        assertTrue(
                services.get(0).status().get(0).contains("by now"),
                services.get(0).status()::toString);
        assertEquals(1, services.stream().map(FreezeService::version).distinct().count());
        long before = System.nanoTime();
        tasks.get(0).stop();
        assertTrue(System.nanoTime() - before < Duration.ofSeconds(2).toNanos(), "a task did not stop within 2 s");
        tasks.remove(0);
        services.remove(0);
        awaitAll(Calendar.Permit.FROZEN);
    }
}
