package stagepier.shadow;

import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.zip.CRC32C;

/**
 * A shard map that is tried beside the real one. Immutable. Two files that mean the same have the same canonical text, which is
 * what routers pass to each other.
 *
 * @param version      raised by staff with each change; the highest one counts
 * @param salt         key of the hash by which the slice and the steps of a promotion are chosen
 * @param virtualNodes of a server of weight 1
 * @param servers      weight by name, as discovery has it
 * @param classes      of the requests that are tried
 * @param prefixes     of the keys that are tried; empty for all keys
 * @param slice        keys that are tried, in parts per ten thousand
 * @param copies       a second, over the whole fleet
 * @param fetches      a second that copies may cause at the origin, over the whole fleet
 * @param margin       change of the time of answers, as a part of it, below which two maps count as alike
 * @param steps        of a promotion: keys, in parts per ten thousand, that are served by this map after each
 * @param stepSeconds  seconds between two steps
 * @param backSeconds  seconds between two steps of a rollback; 0 for all at once
 */
public record CandidateMap(
        long version,
        String salt,
        int virtualNodes,
        SortedMap<String, Double> servers,
        List<String> classes,
        List<String> prefixes,
        int slice,
        double copies,
        double fetches,
        double margin,
        List<Integer> steps,
        double stepSeconds,
        double backSeconds) {
    public CandidateMap {
        servers = Collections.unmodifiableSortedMap(new TreeMap<>(servers));
        classes = classes.stream().sorted().toList();
        prefixes = prefixes.stream().sorted().toList();
        steps = List.copyOf(steps);
    }

    /** The canonical text, which {@link CandidateFile#parse} reads. */
    public String text() {
        StringBuilder text = new StringBuilder();
        text.append("version = ")
                .append(version)
                .append("\nsalt = \"")
                .append(salt)
                .append("\"\nvirtual_nodes = ")
                .append(virtualNodes)
                .append("\nslice = ")
                .append(slice)
                .append("\nclasses = ")
                .append(words(classes))
                .append("\nprefixes = ")
                .append(words(prefixes))
                .append("\n[budget]\ncopies_per_second = ")
                .append(number(copies))
                .append("\nfetches_per_second = ")
                .append(number(fetches))
                .append("\n[verdict]\nmargin = ")
                .append(number(margin))
                .append("\n[promotion]\nsteps = ")
                .append(steps)
                .append("\nstep_s = ")
                .append(number(stepSeconds))
                .append("\nback_step_s = ")
                .append(number(backSeconds))
                .append('\n');
        servers.forEach((name, weight) -> text.append("[[servers]]\nname = \"")
                .append(name)
                .append("\"\nweight = ")
                .append(number(weight))
                .append('\n'));
        return text.toString();
    }

    /** Version and checksum: tells apart two files that were given the same version. */
    public String id() {
        CRC32C sum = new CRC32C();
        sum.update(text().getBytes(StandardCharsets.UTF_8));
        return version + "-" + String.format("%08x", sum.getValue());
    }

    /** Whether this one counts rather than that one; the same at all routers, also where staff gave one version to two maps. */
    public boolean replaces(CandidateMap other) {
        return other == null
                || version > other.version
                || version == other.version && text().compareTo(other.text()) > 0;
    }

    /** Whether a request of this class for this key is one that the map is tried with. */
    public boolean covers(String className, String key) {
        return classes.contains(className)
                && (prefixes.isEmpty() || prefixes.stream().anyMatch(key::startsWith));
    }

    private static String words(List<String> words) {
        return words.stream().map(w -> '"' + w + '"').collect(Collectors.joining(", ", "[", "]"));
    }

    /** With a point in any case, and without an exponent. */
    static String number(double n) {
        String text = new BigDecimal(Double.toString(n)).toPlainString();
        return text.contains(".") ? text : text + ".0";
    }
}
