package stagepier.app;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jline.utils.Signals;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.adapter.Adapter;
import stagepier.adapter.WireException;

/**
 * Command line: {@code serve} is a router, {@code adapter} speaks the simulator's wire on standard input and output,
 * {@code rehearse} is part of the build.
 */
public final class Main {
    private static final int USAGE = 64;
    private static final int BAD_INPUT = 65;
    private static final int IO_ERROR = 74;
    private static final int BAD_CONFIG = 78;
    /** What a signal's handler is called that whoever started the process has set to be ignored. */
    private static final String IGNORED = "SIG_IGN";
    /** No client waits longer than this; what is open then will never end. */
    private static final int STOP_MOST_S = 30;

    private Main() {}

    public static void main(String[] args) {
        String word = args.length == 1 ? args[0] : "";
        switch (word) {
            case "adapter" -> adapter();
            case "serve" -> serve();
            case "rehearse" -> rehearse();
            default -> exit(USAGE, "usage: java -jar stagepier.jar serve|adapter|rehearse");
        }
    }

    private static void adapter() {
        try {
            // Unbuffered output: each reply is one write of a whole buffer.
            new Adapter(
                            new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16),
                            new FileOutputStream(FileDescriptor.out))
                    .run();
        } catch (WireException e) {
            exit(BAD_INPUT, "stagepier: " + e.getMessage());
        } catch (IOException e) {
            exit(IO_ERROR, "stagepier: " + e.getMessage());
        }
    }

    private static void serve() {
        String path = System.getenv("GW_CONFIG");
        CompletableFuture<Router> built = new CompletableFuture<>();
        // First of all, for this signal ends a JVM that does not handle it; one that comes early waits for the router.
        Object before = Signals.register("HUP", () -> built.thenAccept(router -> reload(router, path)));
        if (IGNORED.equals(String.valueOf(before))) {
            // As under nohup: the JVM leaves such a signal ignored, and nobody would know why a SIGHUP does nothing.
            LoggerFactory.getLogger(Main.class)
                    .warn("SIGHUP is ignored by what started this process: the configuration is read only now");
        }
        try {
            Router router = TransientFailures.repeat(() -> new Router(Config.read(path)));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(router), "stop"));
            CompletableFuture<Void> ready = router.start();
            built.complete(router);
            ready.join();
        } catch (Config.InvalidConfigException | IllegalArgumentException e) {
            exit(BAD_CONFIG, "stagepier: " + e.getMessage());
        } catch (IllegalStateException e) {
            exit(IO_ERROR, "stagepier: cannot start: " + e.getMessage());
        } catch (CompletionException e) {
            exit(IO_ERROR, "stagepier: cannot listen: " + e.getCause().getMessage());
        }
    }

    /** Part of the build, see {@link Rehearsal}; the archive is written as the process ends in order. */
    private static void rehearse() {
        try {
            Rehearsal.run();
        } catch (Exception e) {
            exit(IO_ERROR, "stagepier: the rehearsal failed: " + e);
        }
        System.exit(0);
    }

    /**
     * Runs on SIGHUP, each time on a thread of its own. One at a time, so that what was read last is taken over last;
     * a file that makes no sense changes nothing.
     */
    private static synchronized void reload(Router router, String path) {
        try {
            router.reload(TransientFailures.repeat(() -> Config.read(path)));
        } catch (Config.InvalidConfigException e) {
            LoggerFactory.getLogger(Main.class).error("the configuration in force stays: {}", e.getMessage());
        }
    }

    /** Runs on SIGTERM. Ends the process itself, for the exit code of a signal would look like a crash. */
    private static void stop(Router router) {
        Logger log = LoggerFactory.getLogger(Main.class);
        try {
            router.stop().get(STOP_MOST_S, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            log.error("did not stop in order", e);
            Runtime.getRuntime().halt(1);
        }
        Runtime.getRuntime().halt(0);
    }

    private static void exit(int code, String line) {
        System.err.println(line);
        Runtime.getRuntime().halt(code);
    }
}
