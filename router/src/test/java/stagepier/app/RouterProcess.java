package stagepier.app;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A router process on a port of its own, with its log and configuration in a folder. */
final class RouterProcess implements Closeable {
    static final int WAIT_MS = 5000;
    /** Name of the configuration file. */
    static final String CONFIG = "config.json";

    static final String SETTINGS = """
            {"Classes":[{"Name":"read","Deadline":2,"GoalTime":1,"Repeat":"idempotent","Worth":1},
            {"Name":"put","Deadline":2,"GoalTime":1,"Repeat":"deduplicated","Group":"all","DedupWindow":9,"Worth":1},
            {"Name":"once","Deadline":2,"GoalTime":1,"Repeat":"at_most_once","Worth":1}],
            "Areas":["a"],"Flavors":["m"],"Limits":{"MaxAttempts":3,"MaxRetryAfter":1.2,"DialTimeout":0.25,
            "IdleClose":60},"Obligations":{"DrainGrace":1}}""";

    private static final String CONSOLE_VARIABLE = "GW_CONSOLE";

    private final Path folder;
    private final int port;
    /** Port of the console, or 0 if there is none. */
    private final int console;

    private final String known;
    private final Process process;

    /** Starts a router that knows the given cache servers. */
    RouterProcess(Path folder, StandInAgent agent, String... entries) throws IOException {
        this(folder, agent, Map.of(), entries);
    }

    /** @param environment variables of the process in addition to those of this process */
    RouterProcess(Path folder, StandInAgent agent, Map<String, String> environment, String... entries)
            throws IOException {
        this(folder, agent, environment, 0, entries);
    }

    /** Starts a router with a console. */
    static RouterProcess withConsole(
            Path folder, StandInAgent agent, Map<String, String> environment, String... entries) throws IOException {
        int console = TestPorts.next();
        Map<String, String> all = new HashMap<>(environment);
        all.put(CONSOLE_VARIABLE, "127.0.0.1:" + console);
        return new RouterProcess(folder, agent, all, console, entries);
    }

    private RouterProcess(
            Path folder, StandInAgent agent, Map<String, String> environment, int console, String... entries)
            throws IOException {
        this.folder = folder;
        this.console = console;
        port = TestPorts.next();
        known = StandInAgent.known(entries);
        process = launch(folder, config(agent), environment);
    }

    private String config(StandInAgent agent) {
        return """
                {"listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964","settings":%s,
                "limits":{"sockets":128},"known":%s}""".formatted(port, agent.port(), SETTINGS, known);
    }

    /** Writes a configuration with another discovery address, which the router reads on SIGHUP. */
    void configure(StandInAgent agent) throws IOException {
        Files.writeString(folder.resolve(CONFIG), config(agent));
    }

    static Process launch(Path folder, String config) throws IOException {
        return launch(folder, config, Map.of());
    }

    private static Process launch(Path folder, String config, Map<String, String> environment) throws IOException {
        Path file = Files.writeString(folder.resolve(CONFIG), config);
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-Djava.net.preferIPv4Stack=true",
                "-cp",
                System.getProperty("java.class.path"),
                "stagepier.app.Main",
                "serve");
        builder.environment().putAll(environment);
        builder.environment().put("GW_CONFIG", file.toString());
        builder.redirectError(folder.resolve("log").toFile());
        return builder.start();
    }

    /** Returns the answer of the console, or an empty string if it does not answer. */
    String callConsole(String line) {
        try {
            return ConsoleClient.call(console, line);
        } catch (IOException e) {
            return "";
        }
    }

    int port() {
        return port;
    }

    int console() {
        return console;
    }

    /** Connects as soon as the router listens. */
    Socket connect() throws Exception {
        while (true) {
            try {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setSoTimeout(WAIT_MS);
                socket.setTcpNoDelay(true);
                return socket;
            } catch (IOException e) {
                if (!process.isAlive()) {
                    throw new AssertionError("router process ended: " + log());
                }
                Thread.sleep(5);
            }
        }
    }

    /** Sends a line on a new connection and returns the first line of the answer. */
    String ask(String line) throws Exception {
        try (Socket client = connect()) {
            Rehearsal.write(client, line + "\r\n");
            BufferedReader in = Rehearsal.reader(client);
            return in.readLine();
        }
    }

    Process process() {
        return process;
    }

    String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }

    void awaitLog(String text) throws InterruptedException {
        StandInAgent.await(() -> {
            try {
                return log().contains(text);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    void signal(String name) throws Exception {
        if (new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor()
                != 0) {
            throw new AssertionError("cannot send SIG" + name + " to process " + process.pid());
        }
    }

    int exitCode() throws InterruptedException {
        if (!process.waitFor(10, TimeUnit.SECONDS)) {
            throw new AssertionError("router process did not exit within 10 s");
        }
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
