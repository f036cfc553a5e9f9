package stagepier.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stagepier.tasks.LiveTasks;

@Timeout(30)
class TcpFleetRpcTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** Number of the loopback host that was used last. */
    private static final AtomicInteger LAST_HOST = new AtomicInteger();

    private final SortedMap<String, InetSocketAddress> members = new TreeMap<>();
    private final List<Process> processes = new ArrayList<>();

    private final class Process {
        private final LiveTasks tasks = new LiveTasks(Clock.systemUTC());
        private final TcpFleetRpc calls;
        private final CountDownLatch release = new CountDownLatch(1);

        Process(String name) {
            calls = new TcpFleetRpc(
                    tasks,
                    new FleetConfig(
                            Path.of("fleet.toml"),
                            "hash",
                            name,
                            members.get(name),
                            members,
                            null,
                            Duration.ofSeconds(3),
                            Duration.ofSeconds(2),
                            null),
                    1);
            calls.answer("test", (from, call) -> {
                if (call.kind().equals("test.bad")) {
                    throw new Message.MalformedException("bad");
                }
                if (call.kind().equals("test.hold")) {
                    release.await();
                }
                return Message.of("test.heard", from + ">" + name + ":" + call.read(String.class));
            });
            calls.start();
            processes.add(this);
        }

        String send(String to, String text) throws Exception {
            return calls.call(to, Message.of("test.say", text), TIMEOUT).read(String.class);
        }

        /** Retries until a reply arrives, since the member may not listen yet. */
        String sendUntilAnswered(String to, String text) throws Exception {
            String[] reply = new String[1];
            await(() -> {
                try {
                    reply[0] = send(to, text);
                    return true;
                } catch (FleetRpc.NoReplyException e) {
                    return false;
                }
            });
            return reply[0];
        }
    }

    private static void await(Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.call()) {
            assertTrue(System.nanoTime() < end, "the condition did not become true within 10 s");
            Thread.sleep(5);
        }
    }

    /**
     * Gives the members addresses on a loopback host of this test alone. On a shared host a port may be one that another
     * test has just given up, and links of that test may still come to it.
     */
    @BeforeEach
    void addresses() throws IOException {
        long pid = ProcessHandle.current().pid();
        int number = LAST_HOST.incrementAndGet();
        String host = "127.%d.%d.%d".formatted(1 + pid / 256 % 254, pid % 256, 1 + number % 254);
        List<ServerSocket> free = new ArrayList<>();
        for (String name : List.of("a", "b", "c")) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host));
            free.add(socket);
            members.put(name, new InetSocketAddress(host, socket.getLocalPort()));
        }
        for (ServerSocket socket : free) {
            socket.close();
        }
    }

    @AfterEach
    void stop() {
        processes.forEach(p -> {
            p.release.countDown();
            p.tasks.stop();
        });
    }

    @Test
    void membersCallEachOther() throws Exception {
        Process a = new Process("a");
        Process b = new Process("b");
        assertEquals("a>b:x", a.sendUntilAnswered("b", "x"));
        assertEquals("b>a:y\n\u00e9", b.sendUntilAnswered("a", "y\n\u00e9"));
        String large = "z".repeat(FleetRpc.MAX_MESSAGE_BYTES - 100);
        assertEquals("a>b:" + large, a.send("b", large));
        assertThrows(IllegalArgumentException.class, () -> a.send("b", "z".repeat(FleetRpc.MAX_MESSAGE_BYTES + 100)));
        assertThrows(FleetRpc.NoReplyException.class, () -> a.calls.call("b", Message.of("other.say", 1), TIMEOUT));
        assertThrows(IllegalArgumentException.class, () -> a.send("a", "to itself"));
        assertEquals("a>b:again", a.send("b", "again"));
    }

    @Test
    void concurrentCallsGetTheirOwnReplies() throws Exception {
        Process a = new Process("a");
        new Process("b");
        a.sendUntilAnswered("b", "x");
        ConcurrentLinkedQueue<String> wrong = new ConcurrentLinkedQueue<>();
        CountDownLatch done = new CountDownLatch(8);
        for (int t = 0; t < 8; t++) {
            int task = t;
            a.tasks.start("caller", () -> {
                for (int i = 0; i < 500; i++) {
                    try {
                        String text = task + "-" + i;
                        String reply = a.calls
                                .call("b", Message.of("test.say", text), TIMEOUT)
                                .read(String.class);
                        if (!reply.equals("a>b:" + text)) {
                            wrong.add(reply);
                        }
                    } catch (FleetRpc.NoReplyException | Message.MalformedException e) {
                        wrong.add(String.valueOf(e));
                    }
                }
                done.countDown();
            });
        }
        assertTrue(done.await(20, TimeUnit.SECONDS));
        assertEquals(List.of(), List.copyOf(wrong));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense\n",
                "\n",
                "[]\n",
                "{\"name\":\"b\",\"target\":\"a\"\n",
                "{name:'b'}\n",
                "{\"name\":{}}\n",
                "\u0000\n",
                "LONG",
                "{\"name\":\"b\",\"target\":\"a\"}\nnonsense\n",
                "{\"name\":\"b\",\"target\":\"a\"}\n{\"id\":1}\n",
                "{\"name\":\"b\",\"target\":\"a\"}\n{\"id\":1,\"kind\":\"test.bad\",\"body\":1}\n",
                "{\"name\":\"b\",\"target\":\"a\"}\n{\"id\":1,\"kind\":\"test.say\",\"body\":{}}\n",
                "{\"name\":\"b\",\"target\":\"a\"}\n{\"id\":\"x\",\"kind\":\"test.say\",\"body\":1}\n"
            })
    void malformedDataClosesTheLinkAndIsCounted(String data) throws Exception {
        Process a = new Process("a");
        assertLinkIsClosed(data.equals("LONG") ? "x".repeat(FleetRpc.MAX_MESSAGE_BYTES + 100) : data);
        await(() -> a.calls.malformed() == 1);
        assertEquals(0, a.calls.rejected());
        assertEquals("b>a:x", new Process("b").sendUntilAnswered("a", "x"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}\n",
                "{\"name\":\"d\",\"target\":\"a\"}\n",
                "{\"name\":\"a\",\"target\":\"a\"}\n",
                "{\"name\":\"b\",\"target\":\"c\"}\n",
                "{\"name\":\"b\"}\n"
            })
    void aNonMemberIsRejectedAndCounted(String data) throws Exception {
        Process a = new Process("a");
        assertLinkIsClosed(data);
        await(() -> a.calls.rejected() == 1);
        assertEquals(0, a.calls.malformed());
    }

    /** Connects to router a, with a new socket for each attempt, since a socket is unusable after a failed connect. */
    private Socket connected() throws Exception {
        Socket[] connected = new Socket[1];
        await(() -> {
            try {
                connected[0] = new Socket(
                        members.get("a").getAddress(), members.get("a").getPort());
                return true;
            } catch (IOException e) {
                return false;
            }
        });
        return connected[0];
    }

    private void assertLinkIsClosed(String data) throws Exception {
        try (Socket socket = connected()) {
            socket.getOutputStream().write(data.getBytes(StandardCharsets.UTF_8));
            socket.setSoTimeout(5_000);
            try {
                assertEquals(-1, socket.getInputStream().read());
            } catch (java.net.SocketException e) {
                // The router closed the link before it had read all data.
                return;
            }
        }
    }

    /** The file of another router may name one address twice; the process there must answer as itself only. */
    @Test
    void twoNamesWithOneAddressAreNotTwoMembers() throws Exception {
        members.put("c", members.get("b"));
        Process b = new Process("b");
        Process a = new Process("a");
        assertEquals("a>b:x", a.sendUntilAnswered("b", "x"));
        assertThrows(
                FleetRpc.NoReplyException.class,
                () -> a.calls.call("c", Message.of("test.say", "x"), Duration.ofMillis(300)));
        await(() -> b.calls.rejected() > 0);
    }

    @Test
    void aBrokenLinkIsReopened() throws Exception {
        Process a = new Process("a");
        Process previous = new Process("b");
        a.sendUntilAnswered("b", "x");
        previous.tasks.stop();
        assertThrows(
                FleetRpc.NoReplyException.class,
                () -> a.calls.call("b", Message.of("test.say", "x"), Duration.ofMillis(300)));
        new Process("b");
        assertEquals("a>b:y", a.sendUntilAnswered("b", "y"));
    }

    @Test
    void aPendingCallTimesOutAndDelaysNoOtherMember() throws Exception {
        Process a = new Process("a");
        new Process("b");
        new Process("c");
        a.sendUntilAnswered("b", "x");
        a.sendUntilAnswered("c", "x");
        long began = System.nanoTime();
        assertThrows(
                FleetRpc.NoReplyException.class,
                () -> a.calls.call("b", Message.of("test.hold", "x"), Duration.ofMillis(100)));
        assertTrue(System.nanoTime() - began < 3_000_000_000L);
        assertEquals("a>c:x", a.send("c", "x"));
    }

    /**
     * A member that accepts but never reads, like a stopped process, must not delay callers beyond their timeout nor
     * let data accumulate.
     */
    @Test
    void aMemberThatDoesNotReadBlocksNeitherWritersNorStop() throws Exception {
        try (ServerSocket silent = new ServerSocket()) {
            silent.bind(members.get("b"));
            Process a = new Process("a");
            await(() -> a.calls.status().startsWith("fleet_links open=1 "));
            String large = "z".repeat(FleetRpc.MAX_MESSAGE_BYTES - 100);
            long began = System.nanoTime();
            for (int i = 0; i < 200; i++) {
                assertThrows(
                        FleetRpc.NoReplyException.class,
                        () -> a.calls.call("b", Message.of("test.say", large), Duration.ofMillis(1)));
            }
            assertTrue(System.nanoTime() - began < 10_000_000_000L);
            assertStopsInTime(a);
        }
    }

    @Test
    void stopClosesListenerAcceptedLinksAndUnidentifiedLinks() throws Exception {
        Process a = new Process("a");
        Process b = new Process("b");
        a.sendUntilAnswered("b", "x");
        b.sendUntilAnswered("a", "x");
        try (Socket unidentified = new Socket()) {
            unidentified.connect(members.get("a"), 1_000);
            assertStopsInTime(a);
            try (ServerSocket again = new ServerSocket()) {
                again.setReuseAddress(true);
                again.bind(members.get("a"));
            }
        }
    }

    private static void assertStopsInTime(Process a) throws Exception {
        long began = System.nanoTime();
        a.tasks.stop();
        assertTrue(System.nanoTime() - began < 2_000_000_000L, "the stop took 2 s or more");
        await(() -> a.calls.openSockets() == 0);
    }
}
