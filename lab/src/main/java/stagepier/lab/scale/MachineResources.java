package stagepier.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a scale run may take on this machine.
 *
 * @param memory      bytes that are free or can be freed
 * @param descriptors that this process may open
 * @param ports       that the system gives out by itself at one address
 */
record MachineResources(long memory, long descriptors, int ports) {
    private static final int KILOBYTE = 1024;

    static MachineResources read() throws IOException {
        long memory = KILOBYTE * firstNumber(Path.of("/proc/meminfo"), "MemAvailable:");
        long descriptors = firstNumber(Path.of("/proc/self/limits"), "Max open files");
        // These files are whole in one read only: what is read bit by bit ends after the first.
        String[] range = Files.readAllLines(Path.of("/proc/sys/net/ipv4/ip_local_port_range"))
                .get(0)
                .trim()
                .split("\\s+");
        return new MachineResources(memory, descriptors, Integer.parseInt(range[1]) - Integer.parseInt(range[0]) + 1);
    }

    private static long firstNumber(Path file, String from) throws IOException {
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith(from)) {
                String number = line.substring(from.length()).trim().split("\\s+")[0];
                return number.equals("unlimited") ? Long.MAX_VALUE : Long.parseLong(number);
            }
        }
        throw new IOException(file + ": no line '" + from + "'");
    }
}
