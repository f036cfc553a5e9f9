package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import stagepier.app.SyscallFaults.Fault;

/**
 * Soak test of a router process with clients that connect, stay and disconnect, while system calls fail as drawn from a
 * seed. Runs two seeds in a build; {@code -Dstagepier.soak.seeds=N} sets their number and
 * {@code -Dstagepier.soak.first=N} the first one.
 */
@Timeout(120)
class SystemCallFaultSoakTest {
    private static final int ROUNDS = 60;
    private static final int CLIENTS = 8;
    private static final int MAX_PIPELINED = 4;
    private static final int MAX_FAULTS = 12;
    private static final int DEADLINE_MS = 1900;
    /** An answer that arrives later than this after its deadline counts as lost. */
    private static final int MAX_LATE_MS = 500;
    /**
     * Executions start at most 100 ms after the client disconnected; the rest allows for scheduling delays of the test.
     */
    private static final int MAX_START_AFTER_DISCONNECT_MS = 400;

    @TempDir
    private Path folder;

    private final Map<String, String> sent = new ConcurrentHashMap<>();
    private final Map<String, Long> disconnectedAt = new ConcurrentHashMap<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private RouterProcess router;

    static LongStream seeds() {
        long first = Long.getLong("stagepier.soak.first", 1);
        return LongStream.range(first, first + Long.getLong("stagepier.soak.seeds", 2));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void requestsAreAnsweredOnceAndNotForwardedAfterDisconnect(long seed) throws Exception {
        SyscallFaults faults = new SyscallFaults(folder);
        Random random = new Random(seed);
        try (StandInAgent agent = new StandInAgent();
                StandInCache one = new StandInCache();
                StandInCache other = new StandInCache()) {
            router = new RouterProcess(
                    folder,
                    agent,
                    faults.environment(),
                    StandInAgent.entry(1, one.port(), "up"),
                    StandInAgent.entry(2, other.port(), "up"));
            assertEquals("MN", router.ask("mn"));
            runRounds(faults, random);
            assertEquals("MN", router.ask("mn"));
            router.signal("TERM");
            assertEquals(0, router.exitCode(), router.log());
            assertEquals(List.of(), violations);
            assertForwardedInOrder(one);
            assertForwardedInOrder(other);
            assertTrue(one.answered() + other.answered() > ROUNDS, "too few requests were served");
            assertEquals(
                    List.of(),
                    router.log()
                            .lines()
                            .filter(SystemCallFaultSoakTest::isForbidden)
                            .toList());
        } finally {
            router.close();
        }
    }

    private static boolean isForbidden(String line) {
        return line.contains(" ERROR ")
                || line.contains("globalEventExecutor")
                || line.contains("had no answer in time");
    }

    private void runRounds(SyscallFaults faults, Random random) throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        List<Client> all = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            all.add(new Client("c" + i, new Random(random.nextLong())));
        }
        try {
            for (int round = 0; round < ROUNDS; round++) {
                Fault fault = SyscallFaults.HARMLESS.get(random.nextInt(SyscallFaults.HARMLESS.size()));
                faults.next(fault.call(), fault.failure(), 1 + random.nextInt(MAX_FAULTS));
                List<Future<?>> done = new ArrayList<>();
                for (Client client : all) {
                    done.add(clients.submit(() -> client.ask(fault)));
                }
                for (Future<?> one : done) {
                    one.get();
                }
            }
        } finally {
            clients.shutdownNow();
            for (Client client : all) {
                client.close();
            }
        }
    }

    /** A client that keeps its connection for some rounds and sometimes disconnects with open requests. */
    private final class Client {
        private final String name;
        private final Random random;
        private Socket socket;
        private BufferedReader in;
        private int asked;

        Client(String name, Random random) {
            this.name = name;
            this.random = random;
        }

        Void ask(Fault fault) throws Exception {
            if (socket == null || random.nextInt(3) == 0) {
                close();
                socket = router.connect();
                in = Rehearsal.reader(socket);
            }
            List<String> ids = new ArrayList<>();
            StringBuilder commands = new StringBuilder();
            for (int n = 1 + random.nextInt(MAX_PIPELINED); n > 0; n--) {
                ids.add(name + "x" + asked++);
                commands.append(command(ids.get(ids.size() - 1)));
            }
            long from = System.nanoTime();
            Rehearsal.write(socket, commands.toString());
            if (random.nextInt(4) == 0) {
                disconnect(ids);
                return null;
            }
            for (String id : ids) {
                read(id, fault);
            }
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
            if (took > DEADLINE_MS + MAX_LATE_MS) {
                violations.add(ids + " took " + took + " ms under " + fault);
            }
            return null;
        }

        private String command(String id) {
            boolean write = random.nextInt(3) == 0;
            String head = (write ? "ms k" + id + " 2 O" : "mg k" + id + " v O") + id;
            sent.put(id, head);
            String attributes = write ? " Pc=put,t=x,d=%d,k=%s\r\nab\r\n" : " Pc=read,t=x,d=%d\r\n";
            return head + attributes.formatted(DEADLINE_MS, id);
        }

        private void disconnect(List<String> ids) throws IOException {
            socket.close();
            socket = null;
            ids.forEach(id -> disconnectedAt.put(id, System.nanoTime()));
        }

        private void read(String id, Fault fault) throws IOException {
            String line = in.readLine();
            boolean value = ("VA 2 O" + id).equals(line) && "hi".equals(in.readLine());
            boolean receipt = ("HD O" + id + " cab").equals(line);
            boolean refused = line != null && line.startsWith("SERVER_ERROR ");
            if (!value && !receipt && !refused) {
                violations.add(id + " got " + line + " under " + fault);
            }
        }

        void close() throws IOException {
            if (socket != null) {
                socket.close();
            }
        }
    }

    private void assertForwardedInOrder(StandInCache cache) {
        for (StandInCache.Received command : cache.commands()) {
            String id = command.line().replaceAll(".* O(\\S+) P.*", "$1");
            assertTrue(command.line().startsWith(sent.getOrDefault(id, "unknown") + " P"), command.line());
            Long disconnected = disconnectedAt.get(id);
            if (disconnected != null) {
                long after = TimeUnit.NANOSECONDS.toMillis(command.atNanos() - disconnected);
                assertTrue(
                        after <= MAX_START_AFTER_DISCONNECT_MS,
                        command.line() + " came " + after + " ms after its client disconnected");
            }
        }
    }
}
