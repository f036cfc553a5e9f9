package stagepier;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;

/** A host that writes down every action, for tests that drive a RoutingPolicy through its interface. */
final class ScriptedHost implements Api.Host {
    record Sent(long request, long server, double timeout) {}

    record Timer(double delay, long token) {}

    final List<Sent> sends = new ArrayList<>();
    final List<Timer> timers = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    final List<Double> retryAfters = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<Long> cancelled = new ArrayList<>();
    /** For each send, within how many seconds it has to begin. */
    final List<Double> startWithins = new ArrayList<>();

    int watches;
    int closes;
    /** What was told to other balancers, each time. */
    final List<List<Api.ServerReport>> told = new ArrayList<>();
    /** What others report. */
    LongFunction<Api.PeerTotals> others = Api.PeerTotals::none;

    double othersWeight = 1;
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
        startWithins.add(startWithin);
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
        throw new AssertionError("no probe was allowed");
    }

    @Override
    public void closeIdle(long server) {
        closes++;
        log.append("close ").append(server).append('\n');
    }

    @Override
    public void watchMembers() {
        watches++;
    }

    @Override
    public void reportToPeers(List<Api.ServerReport> news) {
        told.add(news);
    }

    @Override
    public Api.PeerTotals peerTotals(long server) {
        return others.apply(server);
    }

    @Override
    public double peerWeight() {
        return othersWeight;
    }

    @Override
    public void logMessage(String text) {
        log.append("note ").append(text).append('\n');
    }

    Sent last() {
        return sends.get(sends.size() - 1);
    }

    int answers() {
        return refused.size() + failed.size();
    }
}
