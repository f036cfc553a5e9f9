package stagepier.memcache;

import java.util.Arrays;
import java.util.List;

/**
 * Parses the load report, such as {@code Linflight=7,queue=2}, that a cache server may append to the first line of an
 * answer: the fields that the settings name, in any order, each a number that is not negative. Other fields are
 * skipped. A report that lacks a field, repeats one or is otherwise malformed is counted and ignored; the answer itself
 * remains valid. One instance serves all connections of a router.
 */
public final class LoadReportFormat {
    private static final float[] NO_REPORT = {};
    private static final char REPORT_FLAG = 'L';
    private static final String NUMBER_CHARACTERS = "0123456789.eE+-";
    private static final int MAX_NUMBER_LENGTH = 24;

    private final List<String> fields;
    private long received;
    private long malformed;

    /** @param fields names of the values in their order; empty if servers send no reports */
    public LoadReportFormat(List<String> fields) {
        this.fields = List.copyOf(fields);
    }

    /** Returns the number of valid reports since the start. */
    public long received() {
        return received;
    }

    /** Returns the number of malformed reports since the start. */
    public long malformed() {
        return malformed;
    }

    /** Returns the reported values in the order of the fields; empty if the line has no valid report at its end. */
    float[] read(String[] words) {
        String last = words[words.length - 1];
        if (fields.isEmpty() || words.length < 2 || last.isEmpty() || last.charAt(0) != REPORT_FLAG) {
            return NO_REPORT;
        }
        float[] values = values(last.substring(1));
        if (values.length == 0) {
            malformed++;
        } else {
            received++;
        }
        return values;
    }

    private float[] values(String text) {
        float[] values = new float[fields.size()];
        Arrays.fill(values, Float.NaN);
        for (String pair : text.split(",", -1)) {
            int equals = pair.indexOf('=');
            if (equals < 1) {
                return NO_REPORT;
            }
            int index = fields.indexOf(pair.substring(0, equals));
            if (index < 0) {
                continue;
            }
            float value = number(pair.substring(equals + 1));
            if (!(value >= 0) || !Float.isNaN(values[index])) {
                return NO_REPORT;
            }
            values[index] = value;
        }
        for (float value : values) {
            if (Float.isNaN(value)) {
                return NO_REPORT;
            }
        }
        return values;
    }

    /** Returns a finite number, or NaN if the text is not one. */
    private static float number(String text) {
        boolean plain = !text.isEmpty()
                && text.length() <= MAX_NUMBER_LENGTH
                && text.chars().allMatch(c -> NUMBER_CHARACTERS.indexOf(c) >= 0);
        if (!plain) {
            return Float.NaN;
        }
        try {
            float value = Float.parseFloat(text);
            return Float.isInfinite(value) ? Float.NaN : value;
        } catch (NumberFormatException notANumber) {
            return Float.NaN;
        }
    }
}
