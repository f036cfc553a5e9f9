package stagepier.exchange;

import stagepier.Api;

/**
 * What a cache server's answer says beside its value.
 *
 * @param lookup how the read went
 * @param report load report in the order of the settings; empty where there is none
 */
public record ResponseInfo(Api.Lookup lookup, float[] report) {
    private static final float[] NO_REPORT = {};

    /** Of an attempt that had no answer. */
    public static final ResponseInfo NONE = of(Api.Lookup.UNKNOWN);

    /** Of an answer without a load report. */
    public static ResponseInfo of(Api.Lookup lookup) {
        return new ResponseInfo(lookup, NO_REPORT);
    }
}
