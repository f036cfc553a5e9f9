package stagepier.app;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A platform process that holds the clients' listening socket and starts routers that inherit it as descriptor 0. The
 * JVM cannot pass a socket to a child process, so a short Perl script (Perl is part of every Debian) listens, forks and
 * reports the exit status of each process.
 */
final class Platform implements Closeable {
    private static final String PERL = """
            use Socket; use POSIX ":sys_wait_h"; $| = 1;
            open(my $words, '<&', \\*STDIN) or die; open(my $out, '>&', \\*STDOUT) or die; $out->autoflush(1);
            socket(my $s, PF_INET, SOCK_STREAM, 0) or die; setsockopt($s, SOL_SOCKET, SO_REUSEADDR, 1);
            bind($s, sockaddr_in(0, INADDR_LOOPBACK)) or die; listen($s, 512) or die;
            my ($port) = sockaddr_in(getsockname($s)); print $out "port $port\\n";
            $SIG{CHLD} = sub { while ((my $p = waitpid(-1, WNOHANG)) > 0) {
                print $out "exit $p ", $? & 127 ? -($? & 127) : $? >> 8, "\\n"; } };
            while (1) {
                my $line = <$words>; if (!defined $line) { next if $!{EINTR}; last; }
                chomp $line; my ($config, $console, $log) = split / /, $line;
                my $pid = fork;
                if ($pid == 0) {
                    POSIX::dup2(fileno($s), 0); open(STDERR, '>>', $log); open(STDOUT, '>>', $log);
                    $ENV{GW_CONFIG} = $config; $ENV{GW_CONSOLE} = $console; $ENV{GW_PASSED_SOCKET} = "0";
                    exec @ARGV or die;
                }
                print $out "started $pid\\n";
            }
            """;

    private final Process perl;
    private final CompletableFuture<Integer> port = new CompletableFuture<>();
    private final Map<Long, CompletableFuture<Integer>> exitCodes = new ConcurrentHashMap<>();
    private final java.util.concurrent.BlockingQueue<Long> started = new java.util.concurrent.LinkedBlockingQueue<>();
    private final ExecutorService reader = Executors.newSingleThreadExecutor();

    /** @param shared folder that all its processes share */
    Platform(Path shared) throws IOException {
        Path script = Files.writeString(shared.resolve("platform.pl"), "use IO::Handle; use Errno;\n" + PERL);
        ProcessBuilder builder = new ProcessBuilder(
                "perl",
                script.toString(),
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-Djava.net.preferIPv4Stack=true",
                "-cp",
                System.getProperty("java.class.path"),
                "stagepier.app.Main",
                "serve");
        builder.environment().put("TMPDIR", shared.toString());
        builder.redirectError(shared.resolve("platform.log").toFile());
        perl = builder.start();
        reader.execute(this::listen);
    }

    private void listen() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(perl.getInputStream(), StandardCharsets.US_ASCII))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String[] words = line.split(" ");
                switch (words[0]) {
                    case "port" -> port.complete(Integer.parseInt(words[1]));
                    case "started" -> started.add(Long.parseLong(words[1]));
                    default -> exitCode(Long.parseLong(words[1])).complete(Integer.parseInt(words[2]));
                }
            }
        } catch (IOException e) {
            port.completeExceptionally(e);
        }
    }

    int port() throws Exception {
        return port.get(10, TimeUnit.SECONDS);
    }

    /** Starts a router and returns its process id. */
    long start(Path config, int console, Path log) throws Exception {
        perl.getOutputStream()
                .write((config + " 127.0.0.1:" + console + " " + log + "\n").getBytes(StandardCharsets.US_ASCII));
        perl.getOutputStream().flush();
        return started.poll(10, TimeUnit.SECONDS);
    }

    /** Returns the exit code of a process that this platform started; negative is the signal that ended it. */
    CompletableFuture<Integer> exitCode(long pid) {
        return exitCodes.computeIfAbsent(pid, p -> new CompletableFuture<>());
    }

    static void terminate(long pid) {
        ProcessHandle.of(pid).ifPresent(ProcessHandle::destroy);
    }

    @Override
    public void close() throws IOException {
        perl.descendants().forEach(ProcessHandle::destroyForcibly);
        perl.destroyForcibly();
        reader.shutdown();
    }
}
