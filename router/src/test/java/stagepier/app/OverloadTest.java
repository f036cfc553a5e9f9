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

/** An in-process router with a stalled event loop, too many clients or a silent server link. */
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

    /** A client connection. */
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

        /** Reads the next answer and returns whether it is a value. */
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
            assertEquals(
                    20,
                    sendReads(clients, 1900).stream().filter(b -> b).count(),
                    "not all requests served before the test");
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

    /** Sends one read on each connection and returns which ones were served. */
    private List<Boolean> sendReads(List<Client> connections, int budgetMs) throws IOException {
        for (Client c : connections) {
            c.write(read(budgetMs));
        }
        List<Boolean> served = new ArrayList<>();
        for (Client c : connections) {
            served.add(c.served());
        }
        return served;
    }

    /** Sends consecutive requests that must all be served, and returns the longest response time in seconds. */
    private double longestResponse(Client c) throws IOException {
        double longest = 0;
        for (int i = 0; i < 200; i++) {
            double from = new Clock().now();
            c.write(read(1900));
            assertTrue(c.served());
            longest = Math.max(longest, new Clock().now() - from);
        }
        return longest;
    }

    private String counters() throws Exception {
        return router.counters().get(5, TimeUnit.SECONDS) + " ";
    }

    /** After a stall of the loop, unread requests count from their arrival, and no server is treated as failed. */
    @Test
    void afterStallExpiredRequestsAreRefusedAtOnceAndOthersServed() throws Exception {
        StalledLoop stalled = new StalledLoop(router.loop());
        for (int i = 0; i < 300; i++) {
            clients.get(i % 20).write(read(i % 20 == 0 ? 1900 : 200));
        }
        // Lets time pass while everything is written and nothing is read.
        double from = new Clock().now();
        while (new Clock().now() - from < 0.3) {
            Thread.onSpinWait();
        }
        stalled.resume();
        double resumed = new Clock().now();
        for (int i = 0; i < 300; i++) {
            assertEquals(i % 20 == 0, clients.get(i % 20).served(), "request " + i);
        }
        assertTrue(new Clock().now() - resumed < 1, "answers after the stall took too long");
        String counters = counters();
        assertTrue(
                counters.contains(" executions_timeout=0 ")
                        && counters.contains(" requests_overdue=0 ")
                        && counters.contains(" requests_unanswered=0 "),
                counters);
        // All requests of the stall, and possibly earlier ones from before the code was compiled.
        Matcher late = Pattern.compile(" requests_read_late=([0-9]+) ").matcher(counters);
        assertTrue(late.find() && Integer.parseInt(late.group(1)) >= 300, counters);
        // No circuit breaker has opened: all requests are served as before.
        assertEquals(20, sendReads(clients, 1900).stream().filter(b -> b).count());
    }

    /** Prevents clients that hold links without sending requests from displacing clients that send them. */
    @Test
    void requestIsServedInTimeDespiteMoreIdleClientsThanLinks() throws Exception {
        List<Socket> idleClients = new ArrayList<>();
        try {
            for (int i = 0; i < 240; i++) {
                Socket s = new Socket(LOOPBACK, port);
                idleClients.add(s);
                String input = i % 3 == 0 ? "mn\r\n" : i % 3 == 1 ? "mg k1 v Oaa" : "";
                Rehearsal.write(s, input);
            }
            Client late = new Client(port);
            clients.add(late);
            late.write(read(1900));
            assertTrue(late.served());
            assertTrue(counters().contains(" requests_overdue=0 "));
            assertTrue(!counters().contains(" client_links_given_up_probe=0 "), counters());
        } finally {
            for (Socket s : idleClients) {
                s.close();
            }
        }
    }

    /** Prevents requests from waiting on a silent connection until their deadline. */
    @Test
    void silentLinkIsClosedWhileServerAnswersOnOthers() throws Exception {
        StandInCache busierServer = first.answered() > second.answered() ? first : second;
        int links = busierServer.connections();
        busierServer.silenceBusiest();
        // Each client continues after its answer, so that later requests overtake the ones on the silent link.
        List<Future<Double>> results = new ArrayList<>();
        // No more clients than one server has tickets for, because it has to take the whole load for a moment.
        List<Client> few = clients.subList(0, 10);
        ExecutorService all = Executors.newFixedThreadPool(few.size());
        for (Client c : few) {
            results.add(all.submit(() -> longestResponse(c)));
        }
        double longest = 0;
        for (Future<Double> w : results) {
            longest = Math.max(longest, w.get(30, TimeUnit.SECONDS));
        }
        all.shutdown();
        assertTrue(links > 1, "the test needs more than one link");
        assertTrue(longest < 1.2, "longest response time " + longest + " s");
        String counters = counters();
        assertTrue(counters.contains(" executions_timeout=0 "), counters);
        assertTrue(!counters.contains(" server_links_silent=0 "), counters);
    }
}
