package stagepier.shadow;

import java.util.zip.CRC32C;
import stagepier.Api;

/**
 * What became of one execution, of a real request or of its copy.
 *
 * @param value   checksum and length of the value; 0 where there is none, or none that was collected
 * @param elapsed seconds
 * @param alone   nothing else was awaited on its connection, and that was up: its time is the server's own
 */
public record ExecutionResult(Api.Outcome outcome, Api.Lookup lookup, long value, double elapsed, boolean alone) {
    /** Of a value: two that differ have the same checksum once in 2^32. 0 for none. */
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

    /** Served with a value that was collected. */
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
