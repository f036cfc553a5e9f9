package stagepier.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

/**
 * What a process uses, as Linux tells it below /proc.
 *
 * @param processorSeconds that it has taken so far, of all its threads
 * @param residentBytes    of memory
 * @param descriptors      that it has open
 */
public record ProcessUse(double processorSeconds, long residentBytes, int threads, int descriptors) {
    /** Linux counts processor time in these for all programs, whatever the kernel's own beat. */
    private static final double TICKS_A_SECOND = 100;

    private static final int KILOBYTE = 1024;
    /** Places in the line of stat, counted from the first after the name of the program. */
    private static final int USER_TICKS = 11;

    private static final int SYSTEM_TICKS = 12;

    /** @throws IOException where there is no such process (any more) */
    public static ProcessUse of(long pid) throws IOException {
        Path process = Path.of("/proc", Long.toString(pid));
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
            return new ProcessUse(processorSeconds(process), resident, threads, (int) open.count());
        }
    }

    /**
     * Seconds of processor time that each thread of a process has taken so far, by the thread's id and, behind a space, its
     * name; a thread that ends meanwhile is left out.
     *
     * @throws IOException where there is no such process (any more)
     */
    public static Map<String, Double> ofThreads(long pid) throws IOException {
        Map<String, Double> seconds = new HashMap<>();
        try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
            for (Path thread : threads.toList()) {
                try {
                    String name = Files.readString(thread.resolve("comm")).strip();
                    seconds.put(thread.getFileName() + " " + name, processorSeconds(thread));
                } catch (NoSuchFileException e) {
                    continue;
                }
            }
        }
        return seconds;
    }

    private static double processorSeconds(Path processOrThread) throws IOException {
        String stat = Files.readString(processOrThread.resolve("stat"));
        // The name stands in parentheses and may hold anything.
        String[] words = stat.substring(stat.lastIndexOf(')') + 2).trim().split(" ");
        return (Double.parseDouble(words[USER_TICKS]) + Double.parseDouble(words[SYSTEM_TICKS])) / TICKS_A_SECOND;
    }

    private static long number(String line) {
        return Long.parseLong(line.replaceAll("[^0-9]", ""));
    }
}
