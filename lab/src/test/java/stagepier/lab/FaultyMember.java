package stagepier.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** A little member of a fleet over the lab's links, which writes a history; or one that breaks every promise. For tests only. */
final class FaultyMember {
    private static final Logger HISTORY = LoggerFactory.getLogger("history");
    private static final long INCARNATION = System.currentTimeMillis();
    private static final long HEARD_FOR_NS = 1_000_000_000L;

    private final String name;
    private final boolean wrong;
    private final Map<String, Integer> addresses = new TreeMap<>();
    private final Map<String, Long> heard = new ConcurrentHashMap<>();
    private final long from = System.nanoTime();
    private volatile boolean holds;
    private String last = "";
    private int epoch;

    private FaultyMember(String name, String file, boolean wrong) {
        this.name = name;
        this.wrong = wrong;
        Matcher m = Pattern.compile("name = \"(n\\d+)\"\\s+address = \"127.0.0.1:(\\d+)\"")
                .matcher(file);
        while (m.find()) {
            addresses.put(m.group(1), Integer.parseInt(m.group(2)));
        }
    }

    /** Starts it beside the router that this process is. */
    static void start(String name, boolean wrong) throws IOException {
        FaultyMember member = new FaultyMember(name, Files.readString(Path.of(System.getenv("GW_FLEET"))), wrong);
        member.onHangUp();
        daemon(member::listen);
        daemon(member::look);
        member.addresses.keySet().stream()
                .filter(other -> !other.equals(name))
                .forEach(other -> daemon(() -> member.ping(other)));
        if (wrong) {
            daemon(member::breakAll);
        }
    }

    private static void daemon(Runnable what) {
        Thread thread = new Thread(what);
        thread.setDaemon(true);
        thread.start();
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void say(String event, Object... namesAndValues) {
        LoggingEventBuilder line = HISTORY.atInfo()
                .addKeyValue("nano", System.nanoTime())
                .addKeyValue("router", name)
                .addKeyValue("incarnation", INCARNATION);
        for (int i = 0; i < namesAndValues.length; i += 2) {
            line = line.addKeyValue((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        line.log(event);
    }

    private void listen() {
        try (ServerSocket listening = new ServerSocket(addresses.get(name), 50, InetAddress.getLoopbackAddress())) {
            while (true) {
                Socket caller = listening.accept();
                daemon(() -> answer(caller));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void answer(Socket caller) {
        try (caller) {
            String line = new BufferedReader(new InputStreamReader(caller.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
            if (line != null && line.contains("holds")) {
                learn();
            }
            caller.getOutputStream().write("ok\n".getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            // It will call again.
        }
    }

    private void ping(String other) {
        String padding = wrong ? " " + "x".repeat(2000) : "";
        while (true) {
            try (Socket s = new Socket(InetAddress.getLoopbackAddress(), addresses.get(other))) {
                s.setSoTimeout(300);
                s.getOutputStream()
                        .write((name + (holds ? " holds" : "") + padding + "\n").getBytes(StandardCharsets.US_ASCII));
                if (s.getInputStream().read() == 'o') {
                    heard.put(other, System.nanoTime());
                }
            } catch (IOException e) {
                // Not heard.
            }
            pause(100);
        }
    }

    /** Writes its view where that changed. */
    private void look() {
        while (true) {
            List<String> members = new ArrayList<>();
            int alive = 0;
            for (String other : addresses.keySet()) {
                Long at = heard.get(other);
                boolean hears = other.equals(name) || at != null && System.nanoTime() - at < HEARD_FOR_NS;
                boolean slander = wrong && !other.equals(name) && System.nanoTime() - from > 14_000_000_000L;
                alive += hears ? 1 : 0;
                members.add(other + (at == null && !hears ? ":0:" : ":1:") + (hears && !slander ? "ALIVE" : "GONE"));
            }
            if (!members.toString().equals(last)) {
                last = members.toString();
                say("view", "epoch", ++epoch, "majority", wrong || alive > addresses.size() / 2, "members", members);
            }
            pause(50);
        }
    }

    private void learn() {
        if (!holds) {
            holds = true;
            say("calendar.learned", "version", "1.1", "hash", "aa");
            say("shadow.promoted", "version", 1, "share", 100);
        }
    }

    /** What SIGHUP does; without a word of the language for it, and without a warning of the compiler. */
    private void onHangUp() {
        try {
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Class<?> signal = Class.forName("sun.misc.Signal");
            Object accepts =
                    Proxy.newProxyInstance(getClass().getClassLoader(), new Class<?>[] {handler}, (p, m, args) -> {
                        if (!wrong) {
                            long now = System.currentTimeMillis();
                            say("calendar.accepted", "version", "1.1", "hash", "aa");
                            say("calendar.windows", "version", "1.1", "windows", List.of((now + 4000) + "..* all"));
                            learn();
                        }
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), accepts);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private void breakAll() {
        say("calendar.accepted", "version", "1.1", "hash", name);
        say("calendar.windows", "version", "1.1", "windows", List.of("0..* all"));
        pause(8000);
        say("topology.admitted", "kind", "RESTORE", "server", "s1", "zone", "z0", "calendar", "1.1");
        say("topology.held", "kind", "DRAIN", "server", "s1");
        say("shadow.real", "id", name, "server", "s1", "attempts", 1, "answer", "a");
        say("shadow.real", "id", name, "server", "s2", "attempts", 1, "answer", "a");
        for (int i = 0; i < 20; i++) {
            say("shadow.copy", "id", name + i, "key", "k", "server", "s2");
        }
        say("shadow.counters", "counts", List.of(name + ":" + INCARNATION + ":21"), "total", 21);
        say("shadow.promoted", "version", 1, "share", 100);
    }
}
