package stagepier.app;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * System calls of a router process that fail when a test says so: a library that the process preloads, built here from
 * {@code src/test/native}, and the file that it shares with the test.
 */
final class SyscallFaults {
    /** Kinds of calls, in the order of the library's own. */
    enum Call {
        ACCEPT,
        SOCKET,
        CONNECT,
        /** {@code epoll_wait}. */
        WAIT,
        /** On IPv4 sockets only, as the next one. */
        READ,
        WRITE,
        /** Of the router's configuration file only. */
        OPEN,
        EPOLL_CREATE,
        /** Steps the wall clock; never fails. */
        CLOCK
    }

    /** How a call fails, with the numbers of Linux. */
    enum Failure {
        /** Only one byte is read or written. */
        SHORT(0),
        EINTR(4),
        EIO(5),
        ENFILE(23),
        EADDRNOTAVAIL(99),
        ENETUNREACH(101),
        ECONNABORTED(103),
        ENOBUFS(105),
        ETIMEDOUT(110),
        EHOSTUNREACH(113);

        private final int number;

        Failure(int number) {
            this.number = number;
        }
    }

    /** A kind of call and how it fails. */
    record Fault(Call call, Failure failure) {}

    /** Faults after which no connection is broken. */
    static final List<Fault> HARMLESS = List.of(
            new Fault(Call.ACCEPT, Failure.ENFILE),
            new Fault(Call.ACCEPT, Failure.ECONNABORTED),
            new Fault(Call.ACCEPT, Failure.ENOBUFS),
            new Fault(Call.SOCKET, Failure.ENFILE),
            new Fault(Call.SOCKET, Failure.ENOBUFS),
            new Fault(Call.CONNECT, Failure.EADDRNOTAVAIL),
            new Fault(Call.CONNECT, Failure.ENETUNREACH),
            new Fault(Call.WAIT, Failure.EINTR),
            new Fault(Call.READ, Failure.EINTR),
            new Fault(Call.READ, Failure.SHORT),
            new Fault(Call.WRITE, Failure.SHORT));

    private static final Path SOURCE = Path.of("src/test/native/syscall_faults.c");
    private static final int REMAINING = 0;
    private static final int ERROR = 4;
    private static final int MADE = 8;
    private static final int SHIFT = 12;
    private static final int BYTES_A_CALL = 16;
    private static final int COMPILER_MOST_S = 30;

    private final MappedByteBuffer shared;
    private final Map<String, String> environment;

    /** @param folder for the library and the shared file */
    SyscallFaults(Path folder) throws Exception {
        Path library = folder.resolve("syscall_faults.so");
        compile(library, folder.resolve("compiler.log"));
        Path file = folder.resolve("faults");
        int bytes = Call.values().length * BYTES_A_CALL;
        Files.write(file, new byte[bytes]);
        try (RandomAccessFile opened = new RandomAccessFile(file.toFile(), "rw")) {
            shared = opened.getChannel().map(FileChannel.MapMode.READ_WRITE, 0, bytes);
        }
        shared.order(ByteOrder.nativeOrder());
        environment = Map.of(
                "LD_PRELOAD", library.toString(),
                "SYSCALL_FAULTS", file.toString(),
                "SYSCALL_FAULTS_FILE", RouterProcess.CONFIG);
    }

    private static void compile(Path library, Path log) throws IOException, InterruptedException {
        Process compiler = new ProcessBuilder(
                        "cc",
                        "-shared",
                        "-fPIC",
                        "-O1",
                        "-Wall",
                        "-Wextra",
                        "-Werror",
                        "-o",
                        library.toString(),
                        SOURCE.toString(),
                        "-ldl")
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        if (!compiler.waitFor(COMPILER_MOST_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
            throw new IOException("the library of faults cannot be built: " + Files.readString(log));
        }
    }

    /** What a router process needs in its environment. */
    Map<String, String> environment() {
        return environment;
    }

    /** The next calls of a kind fail, so many times. */
    void next(Call call, Failure failure, int times) {
        shared.putInt(call.ordinal() * BYTES_A_CALL + ERROR, failure.number);
        shared.putInt(call.ordinal() * BYTES_A_CALL + REMAINING, times);
    }

    /** Calls of that kind that have failed so far. */
    int made(Call call) {
        return shared.getInt(call.ordinal() * BYTES_A_CALL + MADE);
    }

    void awaitMade(Call call, int times) throws InterruptedException {
        StandInAgent.await(() -> made(call) >= times);
    }

    /** Steps the wall clock of the process by so many seconds from what it truly is. */
    void stepWallClock(int seconds) {
        shared.putInt(Call.CLOCK.ordinal() * BYTES_A_CALL + SHIFT, seconds);
    }
}
