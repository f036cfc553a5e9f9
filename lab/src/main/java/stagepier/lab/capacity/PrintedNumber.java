package stagepier.lab.capacity;

import java.math.BigDecimal;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A number as a page prints it, with its unit.
 *
 * @param factor   by which the unit is larger than that of results files
 * @param decimals printed after the point
 */
record PrintedNumber(double value, double factor, int decimals) {
    private static final Map<String, Double> FACTORS = Map.ofEntries(
            Map.entry("B", 1.0),
            Map.entry("KB", 1e3),
            Map.entry("MB", 1e6),
            Map.entry("GB", 1e9),
            Map.entry("TB", 1e12),
            Map.entry("B/s", 1.0),
            Map.entry("KB/s", 1e3),
            Map.entry("MB/s", 1e6),
            Map.entry("GB/s", 1e9),
            Map.entry("TB/s", 1e12),
            Map.entry("cores", 1.0),
            Map.entry("1/s", 1.0),
            Map.entry("s", 1.0),
            Map.entry("ms", 1e-3),
            Map.entry("%", 1e-2));
    private static final Pattern AT_END =
            Pattern.compile("(?<![\\w.,])(-?[0-9][0-9,]*(?:\\.([0-9]+))?) ?([KMGT]?B(?:/s)?|cores|1/s|ms|s|%)?\\s*$");
    private static final double ROUNDING = 0.5;
    /** Doubles that are rounded to the last digit may be off by so much more. */
    private static final double SLACK = 1 + 1e-9;

    /** The number with which a text ends. */
    static Optional<PrintedNumber> atEndOf(String text) {
        Matcher found = AT_END.matcher(text);
        if (!found.find()) {
            return Optional.empty();
        }
        String unit = found.group(3);
        return Optional.of(new PrintedNumber(
                new BigDecimal(found.group(1).replace(",", "")).doubleValue(),
                unit == null ? 1 : FACTORS.get(unit),
                found.group(2) == null ? 0 : found.group(2).length()));
    }

    /** Whether a value rounds to this to the printed digits. */
    boolean is(double actual) {
        return Math.abs(actual / factor - value) <= ROUNDING * Math.pow(10, -decimals) * SLACK;
    }
}
