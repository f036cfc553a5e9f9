package stagepier.lab.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** One real router as a process of its own; during an upgrade as two, on a socket that both inherit. */
public final class RouterProcess {
    /** A process that was started: its exit code, below 0 for a signal, and where its console is; 0 for nowhere. */
    record Running(ProcessHandle process, CompletableFuture<Integer> exit, int console) {}

    /** A new version has so long to say yes; seconds. */
    private static final int UPGRADE_READY_MS = 6000;
    /** After SIGTERM the old one has the longest deadline, counted as 3 s, and 0.7 s. */
    private static final int OLD_ENDS_MS = 3700;

    private static final int READY_WITHIN_S = 30;
    /** As in the deployment: a small heap, one compiler, the classes from the archive if the build made one. */
    private static final List<String> FLAGS = List.of(
            "-Xms24m",
            "-Xmx64m",
            "-Xss512k",
            "-XX:MaxDirectMemorySize=16m",
            "-XX:TieredStopAtLevel=1",
            "-XX:+UseSerialGC",
            "-XX:-UsePerfData",
            "-Xshare:auto",
            "-Xlog:disable",
            "-Dio.netty.allocator.type=unpooled",
            "-Dio.netty.leakDetection.level=disabled");

    private final int number;
    private final List<String> command;
    private final Map<String, String> environment;
    private final Path folder;
    private final int port;
    /** Null where no staff call and no version is put in another's place. */
    private final PassedSocket socket;

    private Running running;

    /**
     * @param environment what it finds there besides its configuration
     * @param staff       whether it has a console, and its clients' socket is held outside of it
     */
    public RouterProcess(int number, List<String> command, Map<String, String> environment, Path folder, boolean staff)
            throws IOException {
        this.number = number;
        this.command = List.copyOf(command);
        this.environment = Map.copyOf(environment);
        this.folder = folder;
        socket = staff
                ? new PassedSocket(
                        command, environment, Files.createDirectories(folder.resolve("router-" + number + ".shared")))
                : null;
        port = staff ? socket.port() : Ports.free();
    }

    /**
     * The command that starts the router of that jar, with the flags of the deployment.
     *
     * @throws IOException where there is no such jar
     */
    public static List<String> command(Path jar) throws IOException {
        if (!Files.isReadable(jar)) {
            throw new IOException("no router at " + jar + "; build it first");
        }
        List<String> command = new ArrayList<>();
        command.add(java());
        command.addAll(FLAGS);
        Path archive = jar.resolveSibling("stagepier.jsa");
        if (Files.exists(archive)) {
            command.add("-XX:SharedArchiveFile=" + archive);
        }
        command.addAll(List.of("-jar", jar.toString(), "serve"));
        return command;
    }

    /** The Java that runs this program. */
    public static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    public int port() {
        return port;
    }

    /** Writes its configuration and starts it; does not wait. */
    public void start(String config) throws IOException {
        running = launch(config);
    }

    private Running launch(String config) throws IOException {
        Path file = config(config);
        Path log = folder.resolve("router-" + number + ".log");
        if (socket != null) {
            return socket.start(file.toAbsolutePath(), Ports.free(), log.toAbsolutePath());
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        builder.environment().put("GW_CONFIG", file.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        Process process = builder.start();
        return new Running(process.toHandle(), process.onExit().thenApply(Process::exitValue), 0);
    }

    /**
     * Puts a new process in the place of the one that serves, as a platform does.
     *
     * @return what was wrong about it, or null
     */
    String upgrade(String config) throws IOException, InterruptedException {
        Running old = running;
        Running fresh = launch(config);
        long from = System.nanoTime();
        while (!saysYes(fresh, "STATUS")) {
            if (System.nanoTime() - from > TimeUnit.MILLISECONDS.toNanos(UPGRADE_READY_MS)) {
                fresh.process().destroyForcibly();
                return "the new process did not say yes within 6 s";
            }
            Thread.sleep(20);
        }
        running = fresh;
        old.process().destroy();
        try {
            int code = old.exit().get(OLD_ENDS_MS, TimeUnit.MILLISECONDS);
            return code == 0 ? null : "the old process ended with " + code;
        } catch (TimeoutException e) {
            old.process().destroyForcibly();
            return "the old process did not end within 3.7 s";
        } catch (ExecutionException e) {
            throw new IOException(e);
        }
    }

    private static boolean saysYes(Running router, String call) {
        try {
            return Console.saysYes(router.console(), call);
        } catch (IOException e) {
            return false;
        }
    }

    /** A call of staff; returns whether it was answered with yes in time. */
    boolean says(String call) {
        return saysYes(running, call);
    }

    /** Whether it says that clients may come. */
    boolean isAlive(int waitMs) {
        try (Socket s = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            s.setSoTimeout(waitMs);
            s.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.ISO_8859_1));
            return "MN".equals(reader(s).readLine());
        } catch (IOException e) {
            return false;
        }
    }

    /** Writes its configuration for when it reads it next. */
    Path config(String config) throws IOException {
        return Files.writeString(folder.resolve("router-" + number + ".json"), config);
    }

    /** Waits until it says that it can serve; returns the seconds that it took. */
    public double awaitReady() throws IOException, InterruptedException {
        long from = System.nanoTime();
        while (System.nanoTime() - from < TimeUnit.SECONDS.toNanos(READY_WITHIN_S)) {
            if (!running.process().isAlive()) {
                throw new IOException(
                        "router " + number + " ended with " + running.exit().getNow(null) + " before it was ready; see "
                                + folder.resolve("router-" + number + ".log"));
            }
            if (isAlive(2000)) {
                return (System.nanoTime() - from) / 1e9;
            }
            Thread.sleep(20);
        }
        throw new IOException("router " + number + " was not ready within " + READY_WITHIN_S + " s");
    }

    private static BufferedReader reader(Socket s) throws IOException {
        return new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    /** Its own counters; empty where it does not answer. */
    public Map<String, Long> counters() {
        Map<String, Long> all = new LinkedHashMap<>();
        try (Socket s = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            s.setSoTimeout(2000);
            s.getOutputStream().write("stats\r\n".getBytes(StandardCharsets.ISO_8859_1));
            BufferedReader in = reader(s);
            for (String line = in.readLine(); line != null && line.startsWith("STAT "); line = in.readLine()) {
                String[] words = line.split(" ");
                all.put(words[1], Long.parseLong(words[2]));
            }
        } catch (IOException e) {
            return all;
        }
        return all;
    }

    /** Number of its process; of one that was started. */
    public long pid() {
        return running.process().pid();
    }

    /** Processor seconds that it has taken so far, or NaN. */
    double cpuSeconds() {
        return running == null
                ? Double.NaN
                : running.process()
                        .info()
                        .totalCpuDuration()
                        .map(d -> d.toNanos() / 1e9)
                        .orElse(Double.NaN);
    }

    /** Resident memory in MB as the system tells it, or NaN where it does not. */
    double residentMb() {
        try {
            for (String line : Files.readAllLines(
                    Path.of("/proc", Long.toString(running.process().pid()), "status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024.0;
                }
            }
        } catch (IOException | RuntimeException e) {
            return Double.NaN;
        }
        return Double.NaN;
    }

    void kill() {
        if (running != null) {
            running.process().destroyForcibly();
        }
    }

    /** Ends whatever it started. */
    public void close() {
        kill();
        if (socket != null) {
            socket.close();
        }
    }

    /** Tells it to end in order; returns whether it did so with exit code 0 within that time. */
    public boolean end(int seconds) throws InterruptedException {
        if (running == null) {
            return true;
        }
        running.process().destroy();
        try {
            return running.exit().get(seconds, TimeUnit.SECONDS) == 0;
        } catch (ExecutionException | TimeoutException e) {
            running.process().destroyForcibly();
            return false;
        }
    }

    /** Tells it to read its configuration again. */
    void reload() throws IOException {
        signal("HUP");
    }

    /** Its process stands still until it is told to go on. */
    public void stall(boolean still) throws IOException {
        signal(still ? "STOP" : "CONT");
    }

    private void signal(String name) throws IOException {
        new ProcessBuilder("kill", "-" + name, Long.toString(running.process().pid())).start();
    }
}
