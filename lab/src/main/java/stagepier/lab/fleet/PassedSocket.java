package stagepier.lab.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * The clients' listening socket of one router, held outside of its processes, which inherit it as descriptor 0. The JVM cannot
 * pass a socket on, so a few lines of Perl, which every Debian has, do: they listen, fork, and tell how each process ended.
 */
final class PassedSocket implements AutoCloseable {
    private static final int WAIT_S = 10;
    private static final String PERL = """
            use IO::Handle; use Errno; use Socket; use POSIX ":sys_wait_h";
            open(my $words, '<&', \\*STDIN) or die; open(my $out, '>&', \\*STDOUT) or die; $out->autoflush(1);
            socket(my $s, PF_INET, SOCK_STREAM, 0) or die; setsockopt($s, SOL_SOCKET, SO_REUSEADDR, 1);
            bind($s, sockaddr_in(0, INADDR_LOOPBACK)) or die; listen($s, 512) or die;
            my ($port) = sockaddr_in(getsockname($s)); print $out "port $port\\n";
            $SIG{CHLD} = sub { while ((my $p = waitpid(-1, WNOHANG)) > 0) {
                print $out "exit $p ", $? & 127 ? -($? & 127) : $? >> 8, "\\n"; } };
            while (1) {
                my $line = <$words>; if (!defined $line) { next if $!{EINTR}; last; }
                chomp $line; my ($console, $config, $log) = split / /, $line, 3;
                my $pid = fork;
                if ($pid == 0) {
                    POSIX::dup2(fileno($s), 0); open(STDERR, '>>', $log); open(STDOUT, '>>', $log);
                    $ENV{GW_CONFIG} = $config; $ENV{GW_CONSOLE} = "127.0.0.1:$console"; $ENV{GW_PASSED_SOCKET} = "0";
                    exec @ARGV or die;
                }
                print $out "started $pid\\n";
            }
            """;

    private final Process perl;
    private final CompletableFuture<Integer> port = new CompletableFuture<>();
    private final Map<Long, CompletableFuture<Integer>> ends = new ConcurrentHashMap<>();
    private final BlockingQueue<Long> started = new LinkedBlockingQueue<>();

    /** @param shared the folder that the router's processes share */
    PassedSocket(List<String> command, Map<String, String> environment, Path shared) throws IOException {
        Path script = Files.writeString(shared.resolve("passed-socket.pl"), PERL);
        List<String> words = new ArrayList<>(List.of("perl", script.toString()));
        words.addAll(command);
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().putAll(environment);
        builder.environment().put("TMPDIR", shared.toString());
        builder.redirectError(shared.resolve("passed-socket.log").toFile());
        perl = builder.start();
        Thread reader = new Thread(this::listen, "passed-socket");
        reader.setDaemon(true);
        reader.start();
    }

    private void listen() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(perl.getInputStream(), StandardCharsets.US_ASCII))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String[] words = line.split(" ");
                switch (words[0]) {
                    case "port" -> port.complete(Integer.parseInt(words[1]));
                    case "started" -> started.add(Long.parseLong(words[1]));
                    default -> end(Long.parseLong(words[1])).complete(Integer.parseInt(words[2]));
                }
            }
            port.completeExceptionally(new IOException("perl has ended"));
        } catch (IOException e) {
            port.completeExceptionally(e);
        }
    }

    /** Where clients connect. */
    int port() throws IOException {
        try {
            return port.get(WAIT_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("no socket to pass on: " + e, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    /** Starts one more process on the socket. */
    RouterProcess.Running start(Path config, int console, Path log) throws IOException {
        perl.getOutputStream()
                .write("%d %s %s%n".formatted(console, config, log).getBytes(StandardCharsets.UTF_8));
        perl.getOutputStream().flush();
        try {
            Long pid = started.poll(WAIT_S, TimeUnit.SECONDS);
            if (pid == null) {
                throw new IOException("no process was started");
            }
            return new RouterProcess.Running(
                    ProcessHandle.of(pid).orElseThrow(() -> new IOException("it ended at once")), end(pid), console);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private CompletableFuture<Integer> end(long pid) {
        return ends.computeIfAbsent(pid, p -> new CompletableFuture<>());
    }

    /** Ends all that it started. */
    @Override
    public void close() {
        perl.descendants().forEach(ProcessHandle::destroyForcibly);
        perl.destroyForcibly();
    }
}
