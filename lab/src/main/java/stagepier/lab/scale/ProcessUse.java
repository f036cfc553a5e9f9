package stagepier.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * What a process uses, as Linux tells it below /proc.
 *
 * @param processorSeconds that it has taken so far, of all its threads
 * @param residentBytes    of memory
 * @param descriptors      that it has open
 */
record ProcessUse(double processorSeconds, long residentBytes, int threads, int descriptors) {
    /** Linux counts processor time in these for all programs, whatever the kernel's own beat. */
    private static final double TICKS_A_SECOND = 100;

    private static final int KILOBYTE = 1024;
    /** Places in the line of stat, counted from the first after the name of the program. */
    private static final int USER_TICKS = 11;

    private static final int SYSTEM_TICKS = 12;

    static ProcessUse of(long pid) throws IOException {
        Path process = Path.of("/proc", Long.toString(pid));
        String stat = Files.readString(process.resolve("stat"));
        // The name stands in parentheses and may hold anything.
        String[] words = stat.substring(stat.lastIndexOf(')') + 2).trim().split(" ");
        double ticks = Double.parseDouble(words[USER_TICKS]) + Double.parseDouble(words[SYSTEM_TICKS]);
        long resident = 0;
        int threads = 0;
        for (String line : Files.readAllLines(process.resolve("status"))) {
            if (line.startsWith("VmRSS:")) {
                resident = KILOBYTE * number(line);
            } else if (line.startsWith("Threads:")) {
                threads = (int) number(line);
            }
        }
        try (Stream<Path> open = Files.list(process.resolve("fd"))) {
            return new ProcessUse(ticks / TICKS_A_SECOND, resident, threads, (int) open.count());
        }
    }

    private static long number(String line) {
        return Long.parseLong(line.replaceAll("[^0-9]", ""));
    }
}
