package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.exchange.Clock;

/** A router in this process whose own loop, places and links are brought into trouble on purpose. */
@Timeout(60)
class OverloadTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int WAIT_MS = 5000;
    private static final String CONFIG = """
            {"listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"1","limits":{"sockets":128},"settings":{
            "Classes":[{"Name":"read","Deadline":2,"GoalTime":2,"Repeat":"idempotent","Worth":1}],
            "Areas":["a"],"Flavors":["m"],"Limits":{"MaxAttempts":3,"MaxRetryAfter":1.2,"DialTimeout":0.25,
            "IdleClose":60},"Obligations":{"DrainGrace":1}},
            "known":{"generation":1,"reset":true,"instances":[%s,%s]}}""";
    private static final String HOST = "{\"instanceId\":\"s-0000000%d\",\"hostPort\":\"127.0.0.1:%d\",\"zone\":\"a\","
            + "\"machineType\":\"m\",\"cell\":0,\"lifecycle\":\"up\",\"weight\":1.0,\"startedAtMs\":0}";

    /** A client's connection. */
    private static final class Client {
        private final Socket socket;
        private final BufferedReader answers;

        Client(int port) throws IOException {
            socket = new Socket(LOOPBACK, port);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(WAIT_MS);
            answers = Rehearsal.reader(socket);
        }

        void write(String text) throws IOException {
            Rehearsal.write(socket, text);
        }

        /** Whether the next answer is a value; it is taken whole. */
        boolean served() throws IOException {
            String line = answers.readLine();
            if (line == null || !line.startsWith("VA ")) {
                assertTrue(line != null && line.startsWith("SERVER_ERROR busy"), line);
                return false;
            }
            assertEquals("hi", answers.readLine());
            return true;
        }
    }

    private final ServerSocket discovery;
    private final StandInCache first;
    private final StandInCache second;
    private Router router;
    private int port;
    private int lastId;
    private final List<Client> clients = new ArrayList<>();

    OverloadTest() throws IOException {
        discovery = Rehearsal.listen();
        first = new StandInCache();
        second = new StandInCache();
    }

    @BeforeEach
    void start() throws Exception {
        port = Rehearsal.freePort();
        router = new Router(Config.parse(CONFIG.formatted(
                port, discovery.getLocalPort(), HOST.formatted(1, first.port()), HOST.formatted(2, second.port()))));
        router.start().get(10, TimeUnit.SECONDS);
        for (int i = 0; i < 20; i++) {
            clients.add(new Client(port));
        }
        for (int i = 0; i < 10; i++) {
            assertEquals(20, askedBy(clients, 1900).stream().filter(b -> b).count(), "calm before the trouble");
        }
    }

    @AfterEach
    void stop() throws Exception {
        for (Client c : clients) {
            c.socket.close();
        }
        router.stop().get(10, TimeUnit.SECONDS);
        first.close();
        second.close();
        discovery.close();
    }

    private synchronized String read(int budgetMs) {
        lastId++;
        return "mg %016x v O%016x Pc=read,t=t,d=%d\r\n".formatted(lastId, lastId, budgetMs);
    }

    /** One read on each; whether each was served. */
    private List<Boolean> askedBy(List<Client> who, int budgetMs) throws IOException {
        for (Client c : who) {
            c.write(read(budgetMs));
        }
        List<Boolean> served = new ArrayList<>();
        for (Client c : who) {
            served.add(c.served());
        }
        return served;
    }

    /** Seconds that the slowest of a client's requests took, one after another; all must be served. */
    private double worstOf(Client c) throws IOException {
        double worst = 0;
        for (int i = 0; i < 200; i++) {
            double from = new Clock().now();
            c.write(read(1900));
            assertTrue(c.served());
            worst = Math.max(worst, new Clock().now() - from);
        }
        return worst;
    }

    private String counters() throws Exception {
        return router.counters().get(5, TimeUnit.SECONDS) + " ";
    }

    /** Guards against a loop that stood still: what lay unread is as old as it is, and no server is to blame. */
    @Test
    void afterAStallWhatHasNoTimeLeftIsRefusedAtOnceAndTheRestIsServed() throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        router.loop().execute(() -> {
            stalled.countDown();
            try {
                goOn.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        stalled.await();
        for (int i = 0; i < 300; i++) {
            clients.get(i % 20).write(read(i % 20 == 0 ? 1900 : 200));
        }
        // The stall itself: time that passes while all is written and nothing read.
        double from = new Clock().now();
        while (new Clock().now() - from < 0.3) {
            Thread.onSpinWait();
        }
        goOn.countDown();
        double resumed = new Clock().now();
        for (int i = 0; i < 300; i++) {
            assertEquals(i % 20 == 0, clients.get(i % 20).served(), "request " + i);
        }
        assertTrue(new Clock().now() - resumed < 1, "not at once");
        String counters = counters();
        assertTrue(
                counters.contains(" executions_timeout=0 ")
                        && counters.contains(" requests_overdue=0 ")
                        && counters.contains(" requests_unanswered=0 "),
                counters);
        // All that waited, and maybe some before, while the router's code was still cold.
        Matcher late = Pattern.compile(" requests_read_late=([0-9]+) ").matcher(counters);
        assertTrue(late.find() && Integer.parseInt(late.group(1)) >= 300, counters);
        // No circuit has opened: all is served as before.
        assertEquals(20, askedBy(clients, 1900).stream().filter(b -> b).count());
    }

    /** Guards against those who hold places without asking crowding out those who ask. */
    @Test
    void whoAsksIsServedInTimeBehindACrowdThatHoldsMorePlacesThanThereAre() throws Exception {
        List<Socket> crowd = new ArrayList<>();
        try {
            for (int i = 0; i < 240; i++) {
                Socket s = new Socket(LOOPBACK, port);
                crowd.add(s);
                String says = i % 3 == 0 ? "mn\r\n" : i % 3 == 1 ? "mg k1 v Oaa" : "";
                Rehearsal.write(s, says);
            }
            Client late = new Client(port);
            clients.add(late);
            late.write(read(1900));
            assertTrue(late.served());
            assertTrue(counters().contains(" requests_overdue=0 "));
            assertTrue(!counters().contains(" client_links_given_up_probe=0 "), counters());
        } finally {
            for (Socket s : crowd) {
                s.close();
            }
        }
    }

    /** Guards against work that is stuck on one silent connection until its time is up. */
    @Test
    void aSilentLinkIsGivenUpWhileItsServerAnswersElsewhere() throws Exception {
        StandInCache busier = first.answered() > second.answered() ? first : second;
        int links = busier.connections();
        busier.silenceBusiest();
        // Each client goes on when it has its answer: what is sent later passes by what is stuck.
        List<Future<Double>> worsts = new ArrayList<>();
        // No more than one server has tickets for: the other one has to bear all for a moment.
        List<Client> few = clients.subList(0, 10);
        ExecutorService all = Executors.newFixedThreadPool(few.size());
        for (Client c : few) {
            worsts.add(all.submit(() -> worstOf(c)));
        }
        double worst = 0;
        for (Future<Double> w : worsts) {
            worst = Math.max(worst, w.get(30, TimeUnit.SECONDS));
        }
        all.shutdown();
        assertTrue(links > 1, "one link alone tells nothing");
        assertTrue(worst < 1.2, "waited " + worst + " s");
        String counters = counters();
        assertTrue(counters.contains(" executions_timeout=0 "), counters);
        assertTrue(!counters.contains(" server_links_silent=0 "), counters);
    }
}
