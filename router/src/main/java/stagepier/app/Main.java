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
 * Command line: {@code serve} runs a router, {@code adapter} speaks the simulator's protocol on standard input and
 * output, {@code rehearse} is a step of the build.
 */
public final class Main {
    private static final int USAGE = 64;
    private static final int BAD_INPUT = 65;
    private static final int IO_ERROR = 74;
    private static final int BAD_CONFIG = 78;
    /** String form of the handler of a signal that the parent process has set to be ignored. */
    private static final String IGNORED_HANDLER = "SIG_IGN";
    /** No client waits longer than this; requests that are still open then will not complete. */
    private static final int STOP_TIMEOUT_S = 30;

    private Main() {}

    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "adapter" -> adapter();
            case "serve" -> serve();
            case "rehearse" -> rehearse();
            default -> exit(USAGE, "usage: java -jar stagepier.jar serve|adapter|rehearse");
        }
    }

    private static void adapter() {
        try {
            // The output is not buffered: each reply is a single write of a complete buffer.
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
        // Registered first, because SIGHUP ends a JVM without a handler; an early signal waits until the router exists.
        Object previous = Signals.register("HUP", () -> built.thenAccept(router -> reload(router, path)));
        if (IGNORED_HANDLER.equals(String.valueOf(previous))) {
            // For example under nohup: the JVM leaves such a signal ignored, and a SIGHUP would have no effect.
            LoggerFactory.getLogger(Main.class)
                    .warn(
                            "SIGHUP is ignored because the parent process ignores it: the configuration cannot be reloaded");
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

    /** Step of the build, see {@link Rehearsal}; the JVM writes the archive when the process exits normally. */
    private static void rehearse() {
        try {
            Rehearsal.run();
        } catch (Exception e) {
            exit(IO_ERROR, "stagepier: the rehearsal failed: " + e);
        }
        System.exit(0);
    }

    /**
     * Reloads the configuration on SIGHUP, each time on a new thread. Synchronized, so that the configuration that was
     * read last is applied last. An invalid file changes nothing.
     */
    private static synchronized void reload(Router router, String path) {
        try {
            router.reload(TransientFailures.repeat(() -> Config.read(path)));
        } catch (Config.InvalidConfigException e) {
            LoggerFactory.getLogger(Main.class)
                    .error("reload failed, keeping the current configuration: {}", e.getMessage());
        }
    }

    /** Runs on SIGTERM. Halts the JVM itself, because the exit code of a signal would look like a crash. */
    private static void stop(Router router) {
        Logger log = LoggerFactory.getLogger(Main.class);
        try {
            router.stop().get(STOP_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            log.error("graceful shutdown failed; exiting with status 1", e);
            Runtime.getRuntime().halt(1);
        }
        Runtime.getRuntime().halt(0);
    }

    private static void exit(int code, String line) {
        System.err.println(line);
        Runtime.getRuntime().halt(code);
    }
}
