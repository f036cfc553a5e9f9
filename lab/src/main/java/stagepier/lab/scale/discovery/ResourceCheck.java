package stagepier.lab.scale.discovery;

import com.sun.management.UnixOperatingSystemMXBean;
import java.io.BufferedReader;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/** Whether this machine has room for a run, looked at before it starts. */
public final class ResourceCheck {
    private static final long MOST_MEMORY = 12L << 30;
    private static final long MEMORY_USUAL = 600L << 20;
    /** Of one watch: its connection at both ends, their buffers, and a whole list on its way. */
    private static final long MEMORY_WATCH = 256L << 10;

    private static final long DESCRIPTORS_USUAL = 200;
    /** Both ends of a connection are in this process, and in an outage one more of each may be on its way. */
    private static final long DESCRIPTORS_WATCH = 4;
    /** Connections that have ended keep their port for a while. */
    private static final long PORTS_WATCH = 8;

    private static final Path PORT_RANGE = Path.of("/proc/sys/net/ipv4/ip_local_port_range");
    private static final Path MEMORY = Path.of("/proc/meminfo");

    private ResourceCheck() {}

    /** @throws IOException where there is no room; its message is one line */
    public static void check(int watches) throws IOException {
        enough("file descriptors", DESCRIPTORS_USUAL + DESCRIPTORS_WATCH * watches, descriptors());
        enough("ports", PORTS_WATCH * watches, ports());
        long memory = MEMORY_USUAL + MEMORY_WATCH * watches;
        enough("bytes of memory within the bound of this program", memory, MOST_MEMORY);
        enough("bytes of free memory", memory, freeMemory());
        enough("bytes of heap (-Xmx)", memory, Runtime.getRuntime().maxMemory());
    }

    private static void enough(String what, long needed, long there) throws IOException {
        if (there < needed) {
            throw new IOException("not started: needs " + needed + " " + what + ", there are " + there);
        }
    }

    private static long descriptors() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean unix
                ? unix.getMaxFileDescriptorCount() - unix.getOpenFileDescriptorCount()
                : Long.MAX_VALUE;
    }

    private static long ports() throws IOException {
        if (!Files.isReadable(PORT_RANGE)) {
            return Long.MAX_VALUE;
        }
        // In one read: such a file gives nothing more to a second one, and Files.readString makes two.
        String[] range;
        try (BufferedReader from = Files.newBufferedReader(PORT_RANGE)) {
            range = from.readLine().trim().split("\\s+");
        }
        return Long.parseLong(range[1]) - Long.parseLong(range[0]) + 1;
    }

    private static long freeMemory() throws IOException {
        if (!Files.isReadable(MEMORY)) {
            return Long.MAX_VALUE;
        }
        for (String line : Files.readAllLines(MEMORY)) {
            if (line.startsWith("MemAvailable:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) << 10;
            }
        }
        return Long.MAX_VALUE;
    }
}
