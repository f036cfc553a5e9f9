package stagepier;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;

/** A host that records every action, for tests that drive a RoutingPolicy through its interface. */
final class ScriptedHost implements Api.Host {
    record Sent(long request, long server, double timeout) {}

    record Timer(double delay, long token) {}

    final List<Sent> sends = new ArrayList<>();
    final List<Timer> timers = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    final List<Double> retryAfters = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<Long> cancelled = new ArrayList<>();
    /** For each send, the seconds within which it has to start. */
    final List<Double> startLimits = new ArrayList<>();

    int watchCalls;
    int closeIdleCalls;
    /** Reports sent to other routers, one list per call. */
    final List<List<Api.ServerReport>> peerReports = new ArrayList<>();
    /** Totals that peers report of each server. */
    LongFunction<Api.PeerTotals> peerTotals = Api.PeerTotals::none;

    double peerWeight = 1;
    final StringBuilder log = new StringBuilder();

    @Override
    public void send(long request, long server, double timeout) {
        sends.add(new Sent(request, server, timeout));
        log.append("send ")
                .append(request)
                .append(' ')
                .append(server)
                .append(' ')
                .append(timeout)
                .append('\n');
    }

    @Override
    public void send(long request, long server, double timeout, double startWithin) {
        startLimits.add(startWithin);
        send(request, server, timeout);
    }

    @Override
    public void cancel(long request, int attempt) {
        cancelled.add(request);
        log.append("cancel ").append(request).append(' ').append(attempt).append('\n');
    }

    @Override
    public void refuse(long request, double retryAfter) {
        refused.add(request);
        retryAfters.add(retryAfter);
        log.append("refuse ").append(request).append(' ').append(retryAfter).append('\n');
    }

    @Override
    public void fail(long request) {
        failed.add(request);
        log.append("fail ").append(request).append('\n');
    }

    @Override
    public void setTimer(double delay, long token) {
        timers.add(new Timer(delay, token));
        log.append("timer ").append(delay).append(' ').append(token).append('\n');
    }

    @Override
    public void probe(long server) {
        throw new AssertionError("probe sent although the settings forbid probes");
    }

    @Override
    public void closeIdle(long server) {
        closeIdleCalls++;
        log.append("close ").append(server).append('\n');
    }

    @Override
    public void watchMembers() {
        watchCalls++;
    }

    @Override
    public void reportToPeers(List<Api.ServerReport> reports) {
        peerReports.add(reports);
    }

    @Override
    public Api.PeerTotals peerTotals(long server) {
        return peerTotals.apply(server);
    }

    @Override
    public double peerWeight() {
        return peerWeight;
    }

    @Override
    public void logMessage(String text) {
        log.append("note ").append(text).append('\n');
    }

    Sent last() {
        return sends.get(sends.size() - 1);
    }

    int finalAnswers() {
        return refused.size() + failed.size();
    }
}
