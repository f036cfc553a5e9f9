package stagepier.exchange;

import stagepier.Api;

/**
 * Observes the real requests, so that a candidate map can be tried on copies of them. An implementation does not change
 * the requests and never throws: {@link ModuleHost} calls it in the middle of its own work, on the event loop.
 */
public interface ShadowTap {
    /**
     * Called when an execution was passed to its server's links; {@link Exchange#sending} tells whether it was written.
     */
    void sent(Exchange x, int attempt, long server, double now);

    /**
     * Called with the one outcome of an execution.
     *
     * @param served  the answer; null if there is none
     * @param elapsed seconds since it was sent, including the delay of this router
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

    /** Called when the final answer of the request is given. */
    void answered(Exchange x, Reply reply, double now);
}
