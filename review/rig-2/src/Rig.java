import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What every case shares: the record, free ports, the router's process, and the exit codes of a case. */
final class Rig implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** Whether the case causes its disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private final Path root;
    private final Path temporary;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final List<ServerSocket> reserved = new ArrayList<>();

    /** A case: returns one of the exit codes. */
    interface Case {
        int run(Rig rig) throws Exception;
    }

    /**
     * Runs a case and ends the process with its exit code.
     *
     * @param args the root of the repository and the file for the record
     */
    static void main(String[] args, Case body) {
        int code = COULD_NOT_RUN;
        try (Rig rig = new Rig(Path.of(args[0]).toAbsolutePath().normalize(), Path.of(args[1]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(rig::endProcesses));
            try {
                code = body.run(rig);
            } catch (Exception e) {
                rig.log("the case could not run: " + e);
                e.printStackTrace();
            }
            rig.log("exit code " + code);
        } catch (IOException e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }

    private Rig(Path root, Path recordFile) throws IOException {
        this.root = root;
        temporary = Files.createTempDirectory("stagepier-review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        log("trouble " + (trouble ? "on" : "off"));
    }

    /** Seconds since the start of the case. */
    double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /** Writes a line to the record. */
    synchronized void log(String line) {
        record.println(String.format(Locale.ROOT, "%9.4f %s", now(), line));
        record.flush();
    }

    /** Returns a port of 127.0.0.1 that was free a moment ago. */
    static int freePort() {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), 0));
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** One router as deployed. */
    final class Router {
        final String name;
        final int port;
        /** The console's port; 0 if there is none. */
        final int consolePort;
        /** Whether the clients' listening socket is this process's own descriptor 0, which the router inherits. */
        private final boolean passed;
        private final Path config;
        private final Path folder;
        private final Path log;
        private Process process;

        /** @param settings the settings object as JSON text */
        Router(String name, int discoveryPort, int sockets, String settings) throws IOException {
            this(name, freePort(), 0, false, discoveryPort, sockets, settings);
        }

        /**
         * @param name     processes of one name share the folder that lasts
         * @param passed   whether the clients' listening socket is descriptor 0 of this process
         * @param settings the settings object as JSON text
         */
        Router(String name, int port, int consolePort, boolean passed, int discoveryPort, int sockets, String settings)
                throws IOException {
            this.name = name;
            this.port = port;
            this.consolePort = consolePort;
            this.passed = passed;
            folder = Files.createDirectories(temporary.resolve(name));
            config = temporary.resolve(name + "-" + consolePort + ".json");
            log = temporary.resolve(name + "-" + consolePort + ".log");
            Files.writeString(
                    config,
                    """
                    {"name":"%s","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
                     "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
                     "settings":%s}
                    """
                            .formatted(name, port, discoveryPort, sockets, settings));
        }

        /** Starts the process by the command of the deploy file and waits until it answers MN. */
        void start() throws Exception {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"))
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile());
            builder.environment().put("GW_NAME", name);
            builder.environment().put("GW_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("GW_CONFIG", config.toString());
            builder.environment().put("TMPDIR", folder.toString());
            if (passed) {
                builder.redirectInput(ProcessBuilder.Redirect.INHERIT);
                builder.environment().put("GW_PASSED_SOCKET", "0");
            }
            if (consolePort != 0) {
                builder.environment().put("GW_CONSOLE", "127.0.0.1:" + consolePort);
            }
            process = builder.start();
            processes.add(process);
            double giveUpAt = now() + 30;
            while (!isReady()) {
                if (now() > giveUpAt || !process.isAlive()) {
                    throw new IllegalStateException("router " + name + " is not ready: "
                            + Files.readString(log));
                }
                Thread.sleep(50);
            }
            Rig.this.log("router " + name + " is ready");
        }

        /** Says a line to the console and returns its answer; null if there is none. */
        String call(String line) {
            try (Client caller = new Client("console", consolePort)) {
                caller.send(line + "\n");
                String answer = caller.readLine(2);
                if (!line.equals("STATUS")) {
                    Rig.this.log("console " + consolePort + ": " + line + " -> " + answer);
                }
                return answer;
            } catch (IOException e) {
                return null;
            }
        }

        private boolean isReady() {
            if (consolePort != 0) {
                return String.valueOf(call("STATUS")).startsWith("OK");
            }
            try (Client client = new Client("ready-check", port)) {
                client.send("mn\r\n");
                return "MN".equals(client.readLine(1));
            } catch (IOException e) {
                return false;
            }
        }

        Process process() {
            return process;
        }

        /** Copies the router's log into the record. */
        void logOutput() throws IOException {
            Files.readAllLines(log).forEach(line -> Rig.this.log("router " + name + ": " + line));
        }

        /** Copies the counters whose names contain a word into the record. */
        void logCounters(String... words) throws IOException {
            try (Client client = new Client("counters", port)) {
                client.send("stats\r\n");
                for (String line = client.readLine(2); line != null && !line.equals("END"); line = client.readLine(2)) {
                    if (Stream.of(words).anyMatch(line::contains)) {
                        Rig.this.log(line);
                    }
                }
            }
        }
    }

    private String deployCommand(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no " + key + " in the deploy file");
    }

    private void endProcesses() {
        for (Process process : processes) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        record.close();
        try (Stream<Path> all = Files.walk(temporary)) {
            all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
