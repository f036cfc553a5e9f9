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
import java.util.concurrent.TimeUnit;

/** One real router as a process of its own. */
public final class RouterProcess {
    private static final int READY_WITHIN_S = 30;
    /** As in the deployment: a small heap, one compiler, the classes from the archive if the build made one. */
    private static final List<String> FLAGS = List.of("-Xms24m", "-Xmx64m", "-Xss512k", "-XX:MaxDirectMemorySize=16m",
            "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-XX:-UsePerfData", "-Xshare:auto", "-Xlog:disable",
            "-Dio.netty.allocator.type=unpooled", "-Dio.netty.leakDetection.level=disabled");

    private final int number;
    private final List<String> command;
    private final Path folder;
    private final int port;
    private Process process;

    RouterProcess(int number, List<String> command, Path folder) throws IOException {
        this.number = number;
        this.command = List.copyOf(command);
        this.folder = folder;
        port = Ports.free();
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

    int port() {
        return port;
    }

    /** Writes its configuration and starts it; does not wait. */
    void start(String config) throws IOException {
        Path file = config(config);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GW_CONFIG", file.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("router-" + number + ".log").toFile()));
        process = builder.start();
    }

    /** Writes its configuration for when it reads it next. */
    Path config(String config) throws IOException {
        return Files.writeString(folder.resolve("router-" + number + ".json"), config);
    }

    /** Waits until it says that it can serve; returns the seconds that it took. */
    double awaitReady() throws IOException, InterruptedException {
        long from = System.nanoTime();
        while (System.nanoTime() - from < TimeUnit.SECONDS.toNanos(READY_WITHIN_S)) {
            if (!process.isAlive()) {
                throw new IOException("router " + number + " ended with " + process.exitValue() + " before it was ready; see "
                        + folder.resolve("router-" + number + ".log"));
            }
            try (Socket s = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
                s.setSoTimeout(2000);
                s.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.ISO_8859_1));
                if ("MN".equals(reader(s).readLine())) {
                    return (System.nanoTime() - from) / 1e9;
                }
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
        throw new IOException("router " + number + " was not ready within " + READY_WITHIN_S + " s");
    }

    private static BufferedReader reader(Socket s) throws IOException {
        return new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    /** Its own counters; empty where it does not answer. */
    Map<String, Long> counters() {
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

    /** Processor seconds that it has taken so far, or NaN. */
    double cpuSeconds() {
        return process == null ? Double.NaN
                : process.info().totalCpuDuration().map(d -> d.toNanos() / 1e9).orElse(Double.NaN);
    }

    /** Resident memory in MB as the system tells it, or NaN where it does not. */
    double residentMb() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024.0;
                }
            }
        } catch (IOException | RuntimeException e) {
            return Double.NaN;
        }
        return Double.NaN;
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Tells it to end in order; returns whether it did so with exit code 0 within that time. */
    boolean end(int seconds) throws InterruptedException {
        if (process == null) {
            return true;
        }
        process.destroy();
        if (process.waitFor(seconds, TimeUnit.SECONDS)) {
            return process.exitValue() == 0;
        }
        process.destroyForcibly().waitFor();
        return false;
    }

    /** Tells it to read its configuration again. */
    void reload() throws IOException {
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
    }
}
