package stagepier.exchange;

import stagepier.Api;
import stagepier.memcache.Answer;

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

    /** Of an answer as its first line says. */
    public static ResponseInfo of(Answer answer) {
        return new ResponseInfo(lookup(answer.hit()), answer.report());
    }

    /** How a read went, in the module's words. */
    public static Api.Lookup lookup(Answer.Hit hit) {
        return switch (hit) {
            case UNTOLD -> Api.Lookup.UNKNOWN;
            case HIT -> Api.Lookup.HIT;
            case MISS -> Api.Lookup.MISS;
            case MISS_FETCHING -> Api.Lookup.MISS_FETCHING;
        };
    }

    /** Of an answer without a load report. */
    public static ResponseInfo of(Api.Lookup lookup) {
        return new ResponseInfo(lookup, NO_REPORT);
    }
}
