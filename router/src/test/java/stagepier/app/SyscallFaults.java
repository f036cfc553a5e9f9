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
 * Injects failures into system calls of a router process: a library that the process preloads, compiled here from
 * {@code src/test/native}, and a memory-mapped file that it shares with the test.
 */
final class SyscallFaults {
    /** Kinds of system calls, in the order of {@code enum kind} in the library. */
    enum Call {
        ACCEPT,
        SOCKET,
        CONNECT,
        /** {@code epoll_wait}. */
        WAIT,
        /** On IPv4 sockets only, as is {@link #WRITE}. */
        READ,
        WRITE,
        /** Opens of the router's configuration file only. */
        OPEN,
        EPOLL_CREATE,
        /** Reads of the wall clock; they are shifted and never fail. */
        CLOCK
    }

    /** The way a call fails, with the error numbers of Linux. */
    enum Failure {
        /** The call succeeds, but reads or writes only one byte. */
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

    /** A kind of system call and the way it fails. */
    record Fault(Call call, Failure failure) {}

    /** Faults that break no connection. */
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
    private static final int CLOCK_SHIFT = 12;
    private static final int BYTES_PER_CALL = 16;
    private static final int COMPILER_TIMEOUT_S = 30;

    private final MappedByteBuffer shared;
    private final Map<String, String> environment;

    /** @param folder for the library and the shared file */
    SyscallFaults(Path folder) throws Exception {
        Path library = folder.resolve("syscall_faults.so");
        compile(library, folder.resolve("compiler.log"));
        Path file = folder.resolve("faults");
        int bytes = Call.values().length * BYTES_PER_CALL;
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
        if (!compiler.waitFor(COMPILER_TIMEOUT_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
            throw new IOException("cannot compile " + SOURCE + ": " + Files.readString(log));
        }
    }

    /** Returns the environment variables for the router process. */
    Map<String, String> environment() {
        return environment;
    }

    /** Makes the next calls of a kind fail, the given number of times. */
    void next(Call call, Failure failure, int times) {
        shared.putInt(call.ordinal() * BYTES_PER_CALL + ERROR, failure.number);
        shared.putInt(call.ordinal() * BYTES_PER_CALL + REMAINING, times);
    }

    /** Returns the number of calls of a kind that have failed so far. */
    int made(Call call) {
        return shared.getInt(call.ordinal() * BYTES_PER_CALL + MADE);
    }

    void awaitMade(Call call, int times) throws InterruptedException {
        StandInAgent.await(() -> made(call) >= times);
    }

    /** Shifts the wall clock of the process by a number of seconds from the true time. */
    void stepWallClock(int seconds) {
        shared.putInt(Call.CLOCK.ordinal() * BYTES_PER_CALL + CLOCK_SHIFT, seconds);
    }
}
