package stagepier.shadow;

import java.util.zip.CRC32C;
import stagepier.Api;

/**
 * The result of one execution, of a real request or of its copy.
 *
 * @param value checksum and length of the value; 0 if there is no value or it was not buffered
 * @param elapsed seconds
 * @param exclusive nothing else was in flight on the connection, and the connection was already open, so that the
 *     elapsed time is that of the server alone
 */
public record ExecutionResult(Api.Outcome outcome, Api.Lookup lookup, long value, double elapsed, boolean exclusive) {
    /**
     * Returns the checksum of a value; 0 for none. Two different values have the same checksum with a probability of
     * 2^-32.
     */
    public static long checksum(byte[] body) {
        if (body == null) {
            return 0;
        }
        CRC32C sum = new CRC32C();
        sum.update(body);
        return sum.getValue() << 24 ^ body.length + 1L;
    }

    boolean isServed() {
        return outcome == Api.Outcome.OK;
    }

    /** Returns whether the execution was served with a value that was buffered. */
    boolean hasValue() {
        return isServed() && value != 0;
    }

    boolean isHit() {
        return lookup == Api.Lookup.HIT;
    }

    boolean isMiss() {
        return lookup == Api.Lookup.MISS || lookup == Api.Lookup.MISS_FETCHING;
    }
}
