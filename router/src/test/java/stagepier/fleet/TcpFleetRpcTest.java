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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stagepier.tasks.LiveTasks;

@Timeout(30)
class TcpFleetRpcTest {
    private static final Duration MOST = Duration.ofSeconds(5);

    private final SortedMap<String, InetSocketAddress> members = new TreeMap<>();
    private final List<Process> processes = new ArrayList<>();

    private final class Process {
        private final LiveTasks tasks = new LiveTasks(Clock.systemUTC());
        private final TcpFleetRpc calls;
        private final CountDownLatch held = new CountDownLatch(1);

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
                    held.await();
                }
                return Message.of("test.heard", from + ">" + name + ":" + call.read(String.class));
            });
            calls.start();
            processes.add(this);
        }

        String say(String to, String text) throws Exception {
            return calls.call(to, Message.of("test.say", text), MOST).read(String.class);
        }

        /** Until it is heard: a member may be about to listen. */
        String sayUntilHeard(String to, String text) throws Exception {
            String[] said = new String[1];
            until(() -> {
                try {
                    said[0] = say(to, text);
                    return true;
                } catch (FleetRpc.NoReplyException e) {
                    return false;
                }
            });
            return said[0];
        }
    }

    private static void until(Callable<Boolean> holds) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!holds.call()) {
            assertTrue(System.nanoTime() < end, "it never came to hold");
            Thread.sleep(5);
        }
    }

    @BeforeEach
    void addresses() throws IOException {
        for (String name : List.of("a", "b", "c")) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                members.put(name, new InetSocketAddress("127.0.0.1", free.getLocalPort()));
            }
        }
    }

    @AfterEach
    void stop() {
        processes.forEach(p -> {
            p.held.countDown();
            p.tasks.stop();
        });
    }

    @Test
    void eachOneCallsEachOther() throws Exception {
        Process a = new Process("a");
        Process b = new Process("b");
        assertEquals("a>b:x", a.sayUntilHeard("b", "x"));
        assertEquals("b>a:y\n\u00e9", b.sayUntilHeard("a", "y\n\u00e9"));
        String large = "z".repeat(FleetRpc.MAX_MESSAGE_BYTES - 100);
        assertEquals("a>b:" + large, a.say("b", large));
        assertThrows(IllegalArgumentException.class, () -> a.say("b", "z".repeat(FleetRpc.MAX_MESSAGE_BYTES + 100)));
        assertThrows(FleetRpc.NoReplyException.class, () -> a.calls.call("b", Message.of("other.say", 1), MOST));
        assertThrows(IllegalArgumentException.class, () -> a.say("a", "to itself"));
        assertEquals("a>b:again", a.say("b", "again"));
    }

    @Test
    void manyCallAtATimeAndEachHasItsOwnReply() throws Exception {
        Process a = new Process("a");
        new Process("b");
        a.sayUntilHeard("b", "x");
        ConcurrentLinkedQueue<String> wrong = new ConcurrentLinkedQueue<>();
        CountDownLatch done = new CountDownLatch(8);
        for (int t = 0; t < 8; t++) {
            int task = t;
            a.tasks.start("caller", () -> {
                for (int i = 0; i < 500; i++) {
                    try {
                        String text = task + "-" + i;
                        String said = a.calls
                                .call("b", Message.of("test.say", text), MOST)
                                .read(String.class);
                        if (!said.equals("a>b:" + text)) {
                            wrong.add(said);
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
    void garbageClosesThatLinkAndIsCounted(String said) throws Exception {
        Process a = new Process("a");
        assertShutOut(said.equals("LONG") ? "x".repeat(FleetRpc.MAX_MESSAGE_BYTES + 100) : said);
        until(() -> a.calls.garbage() == 1);
        assertEquals(0, a.calls.strangers());
        assertEquals("b>a:x", new Process("b").sayUntilHeard("a", "x"));
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
    void aStrangerIsShutOutAndCounted(String said) throws Exception {
        Process a = new Process("a");
        assertShutOut(said);
        until(() -> a.calls.strangers() == 1);
        assertEquals(0, a.calls.garbage());
    }

    /** A socket whose connect has failed is of no further use: a member that is about to listen needs a new one. */
    private Socket connected() throws Exception {
        Socket[] up = new Socket[1];
        until(() -> {
            try {
                up[0] = new Socket(
                        members.get("a").getAddress(), members.get("a").getPort());
                return true;
            } catch (IOException e) {
                return false;
            }
        });
        return up[0];
    }

    private void assertShutOut(String said) throws Exception {
        try (Socket socket = connected()) {
            socket.getOutputStream().write(said.getBytes(StandardCharsets.UTF_8));
            socket.setSoTimeout(5_000);
            try {
                assertEquals(-1, socket.getInputStream().read());
            } catch (java.net.SocketException e) {
                // Closed before it had read all that was said.
                return;
            }
        }
    }

    /** Another router's file may name one address twice: whoever listens there answers as itself only. */
    @Test
    void twoNamesOnOneAddressAreNotTwoMembers() throws Exception {
        members.put("c", members.get("b"));
        Process b = new Process("b");
        Process a = new Process("a");
        assertEquals("a>b:x", a.sayUntilHeard("b", "x"));
        assertThrows(
                FleetRpc.NoReplyException.class,
                () -> a.calls.call("c", Message.of("test.say", "x"), Duration.ofMillis(300)));
        until(() -> b.calls.strangers() > 0);
    }

    @Test
    void aLinkThatBreaksIsOpenedAgain() throws Exception {
        Process a = new Process("a");
        Process before = new Process("b");
        a.sayUntilHeard("b", "x");
        before.tasks.stop();
        assertThrows(
                FleetRpc.NoReplyException.class,
                () -> a.calls.call("b", Message.of("test.say", "x"), Duration.ofMillis(300)));
        new Process("b");
        assertEquals("a>b:y", a.sayUntilHeard("b", "y"));
    }

    @Test
    void aCallThatIsHeldKeepsNoOtherMemberWaitingAndEndsInTime() throws Exception {
        Process a = new Process("a");
        new Process("b");
        new Process("c");
        a.sayUntilHeard("b", "x");
        a.sayUntilHeard("c", "x");
        long began = System.nanoTime();
        assertThrows(
                FleetRpc.NoReplyException.class,
                () -> a.calls.call("b", Message.of("test.hold", "x"), Duration.ofMillis(100)));
        assertTrue(System.nanoTime() - began < 3_000_000_000L);
        assertEquals("a>c:x", a.say("c", "x"));
    }

    /** It accepts and reads nothing, as a process that stands still: nobody who calls it waits beyond its time, nothing piles up. */
    @Test
    void aMemberThatStandsStillHoldsNoWriterAndNoStop() throws Exception {
        try (ServerSocket still = new ServerSocket()) {
            still.bind(members.get("b"));
            Process a = new Process("a");
            until(() -> a.calls.status().startsWith("fleet_links open=1 "));
            String large = "z".repeat(FleetRpc.MAX_MESSAGE_BYTES - 100);
            long began = System.nanoTime();
            for (int i = 0; i < 200; i++) {
                assertThrows(
                        FleetRpc.NoReplyException.class,
                        () -> a.calls.call("b", Message.of("test.say", large), Duration.ofMillis(1)));
            }
            assertTrue(System.nanoTime() - began < 10_000_000_000L);
            stopsInTime(a);
        }
    }

    @Test
    void aStopEndsWhoListensWhoAnswersAndWhoHasNotNamedItself() throws Exception {
        Process a = new Process("a");
        Process b = new Process("b");
        a.sayUntilHeard("b", "x");
        b.sayUntilHeard("a", "x");
        try (Socket nameless = new Socket()) {
            nameless.connect(members.get("a"), 1_000);
            stopsInTime(a);
            try (ServerSocket again = new ServerSocket()) {
                again.setReuseAddress(true);
                again.bind(members.get("a"));
            }
        }
    }

    private static void stopsInTime(Process a) throws Exception {
        long began = System.nanoTime();
        a.tasks.stop();
        assertTrue(System.nanoTime() - began < 2_000_000_000L, "the stop took 2 s or more");
        until(() -> a.calls.openSockets() == 0);
    }
}
