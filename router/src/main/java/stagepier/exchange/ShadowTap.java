package stagepier.exchange;

import stagepier.Api;

/**
 * Is told of the real requests, so that something can be tried beside them. Changes nothing of them and never throws:
 * {@link ModuleHost} calls it in the middle of its own work, on the event loop.
 */
public interface ShadowTap {
    /** An execution was given to its server's links; whether it has gone out, {@link Exchange#sending} tells. */
    void sent(Exchange x, int attempt, long server, double now);

    /**
     * The one outcome of that execution.
     *
     * @param served  the answer; null where there is none
     * @param elapsed seconds since it was sent, with what this router was late by
     */
    void ended(
            Exchange x,
            int attempt,
            long server,
            Api.Outcome outcome,
            Api.Lookup lookup,
            Reply served,
            double elapsed,
            double now);

    /** The final answer of the request is given. */
    void answered(Exchange x, Reply reply, double now);
}
