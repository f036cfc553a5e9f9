package stagepier.exchange;

import java.util.List;
import stagepier.Api;

/** A decision module that does nothing; tests override the events that they need. */
public abstract class NoOpEvents implements Api.Events {
    @Override
    public void onMembers(double now, boolean complete, List<Api.Member> members) {}

    @Override
    public void onMembersFailed(double now) {}

    @Override
    public void onRequest(double now, Api.Request request) {}

    @Override
    public void onFirstByte(double now, long request, int attempt) {}

    @Override
    public void onOutcome(
            double now,
            long request,
            int attempt,
            long server,
            Api.Outcome outcome,
            double elapsed,
            boolean finished,
            Api.Lookup lookup,
            float[] report) {}

    @Override
    public void onClientGone(double now, long request) {}

    @Override
    public void onTimer(double now, long token) {}
}
