package stagepier.memcache;

import java.util.Arrays;
import java.util.List;

/**
 * Reads the load report with which a cache server may end the first line of an answer, as in {@code Linflight=7,queue=2}: the fields
 * that the settings name, in any order, each a number that is not negative. Fields that the settings do not name are skipped. A
 * report that lacks a field, has one twice or holds anything else is counted and left out; the answer itself stands. One for all
 * connections of a router.
 */
public final class LoadReportFormat {
    private static final float[] ABSENT = {};
    private static final char FLAG = 'L';
    private static final String NUMBER_CHARACTERS = "0123456789.eE+-";
    private static final int NUMBER_LONGEST = 24;

    private final List<String> fields;
    private long received;
    private long malformed;

    /** @param fields names of the values in their order; none where servers report nothing */
    public LoadReportFormat(List<String> fields) {
        this.fields = List.copyOf(fields);
    }

    /** Reports that were read, since the start. */
    public long received() {
        return received;
    }

    /** Reports that made no sense, since the start. */
    public long malformed() {
        return malformed;
    }

    /** The values at the end of an answer's first line in the order of the fields; empty where there is no report that makes sense. */
    float[] read(String[] words) {
        String last = words[words.length - 1];
        if (fields.isEmpty() || words.length < 2 || last.isEmpty() || last.charAt(0) != FLAG) {
            return ABSENT;
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
                return ABSENT;
            }
            int index = fields.indexOf(pair.substring(0, equals));
            if (index < 0) {
                continue;
            }
            float value = number(pair.substring(equals + 1));
            if (!(value >= 0) || !Float.isNaN(values[index])) {
                return ABSENT;
            }
            values[index] = value;
        }
        for (float value : values) {
            if (Float.isNaN(value)) {
                return ABSENT;
            }
        }
        return values;
    }

    /** A finite number, or NaN where the text is none. */
    private static float number(String text) {
        boolean plain = !text.isEmpty()
                && text.length() <= NUMBER_LONGEST
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
