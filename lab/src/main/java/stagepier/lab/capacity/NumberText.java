package stagepier.lab.capacity;

import java.util.Locale;

/** Numbers as tables and pages print them: three significant digits, bytes in steps of a thousand. */
public final class NumberText {
    private static final double STEP = 1000;
    private static final String[] PREFIXES = {"", "K", "M", "G", "T"};
    private static final int DIGITS = 3;
    private static final int DECIMALS_MOST = 12;
    /** What is smaller than this is rounding of the regression. */
    private static final double LEAST = 1e-9;

    private NumberText() {}

    /** With its unit, but for a count. */
    public static String of(double value, String unit) {
        if (unit.equals("count")) {
            return number(value);
        }
        if (!unit.equals("B") && !unit.equals("B/s")) {
            return number(value) + " " + unit;
        }
        int step = 0;
        double scaled = value;
        while (Math.abs(scaled) >= STEP && step < PREFIXES.length - 1) {
            scaled /= STEP;
            step++;
        }
        return number(scaled) + " " + PREFIXES[step] + unit;
    }

    /** Without a unit. */
    public static String number(double value) {
        if (!Double.isFinite(value)) {
            return String.valueOf(value);
        }
        if (Math.abs(value) < LEAST) {
            return "0";
        }
        boolean isCount = value == Math.rint(value) && Math.abs(value) >= 1;
        int before = (int) Math.floor(Math.log10(Math.abs(value))) + 1;
        int decimals = isCount ? 0 : Math.max(0, Math.min(DECIMALS_MOST, DIGITS - before));
        return String.format(Locale.ROOT, "%,." + decimals + "f", value);
    }
}
