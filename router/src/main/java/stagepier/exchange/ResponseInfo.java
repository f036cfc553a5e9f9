package stagepier.exchange;

import stagepier.Api;
import stagepier.memcache.Answer;

/**
 * What a cache server's answer contains besides its value.
 *
 * @param lookup result of the cache lookup
 * @param report load report, values in the order of the settings; empty if there is none
 */
public record ResponseInfo(Api.Lookup lookup, float[] report) {
    private static final float[] NO_REPORT = {};

    /** Stands for an attempt without an answer. */
    public static final ResponseInfo NONE = of(Api.Lookup.UNKNOWN);

    /** Returns what the first line of an answer states. */
    public static ResponseInfo of(Answer answer) {
        return new ResponseInfo(lookup(answer.hit()), answer.report());
    }

    /** Converts the lookup result of an answer to that of the module's interface. */
    public static Api.Lookup lookup(Answer.Hit hit) {
        return switch (hit) {
            case UNKNOWN -> Api.Lookup.UNKNOWN;
            case HIT -> Api.Lookup.HIT;
            case MISS -> Api.Lookup.MISS;
            case MISS_FETCHING -> Api.Lookup.MISS_FETCHING;
        };
    }

    /** Returns the information of an answer without a load report. */
    public static ResponseInfo of(Api.Lookup lookup) {
        return new ResponseInfo(lookup, NO_REPORT);
    }
}
