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
 * A shard map that is evaluated with copies of real requests before it replaces the map in use. Immutable. Two files
 * with the same meaning have the same canonical text, which routers send to each other.
 *
 * @param version raised by operators with each change; the highest version takes effect
 * @param salt key of the hash that selects the slice and the keys of each promotion step
 * @param virtualNodes virtual nodes of a server of weight 1
 * @param servers weight by the server's name in discovery
 * @param classes classes of the requests that are copied
 * @param prefixes prefixes of the keys that are copied; empty for all keys
 * @param slice share of the keys that are copied, in parts per ten thousand
 * @param copies copies per second, over the whole fleet
 * @param fetches fetches from the origin per second that copies may cause, over the whole fleet
 * @param margin relative change of the response time below which two maps count as equal
 * @param steps share of the keys served by this map after each promotion step, in parts per ten thousand
 * @param stepSeconds seconds between two promotion steps
 * @param backSeconds seconds between two rollback steps; 0 to roll back in one step
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

    /** Returns the canonical text, which {@link CandidateFile#parse} reads. */
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
                .append(quotedList(classes))
                .append("\nprefixes = ")
                .append(quotedList(prefixes))
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

    /** Returns version and checksum. The checksum distinguishes two files with the same version. */
    public String id() {
        CRC32C sum = new CRC32C();
        sum.update(text().getBytes(StandardCharsets.UTF_8));
        return version + "-" + String.format("%08x", sum.getValue());
    }

    /**
     * Returns whether this map takes precedence over another one. All routers come to the same result, also when
     * operators have given the same version to two maps.
     */
    public boolean replaces(CandidateMap other) {
        return other == null
                || version > other.version
                || version == other.version && text().compareTo(other.text()) > 0;
    }

    /** Returns whether requests of this class for this key are copied. */
    public boolean covers(String className, String key) {
        return classes.contains(className)
                && (prefixes.isEmpty() || prefixes.stream().anyMatch(key::startsWith));
    }

    private static String quotedList(List<String> values) {
        return values.stream().map(w -> '"' + w + '"').collect(Collectors.joining(", ", "[", "]"));
    }

    /** Formats a number with a decimal point and without an exponent. */
    static String number(double n) {
        String text = new BigDecimal(Double.toString(n)).toPlainString();
        return text.contains(".") ? text : text + ".0";
    }
}
