package stagepier.shadow;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stagepier.Api;

/**
 * The cache servers as the list has them, and how the real executions at them end: what tells whether a copy may go there. Owned
 * by the event loop; others read {@link #members}. Times in seconds.
 */
public final class ServerStates {
    /** Seconds after a 'full' in which a server counts as crowded. */
    private static final double CROWDED = 1;
    /** Failures in a row that count as an open circuit, and seconds for which they do. */
    private static final int FAILURES = 3;

    private static final double OPEN = 5;

    /** What the module knows better: its own circuits and crowds. */
    @FunctionalInterface
    public interface EligibilityCheck {
        Eligibility of(double now, long server);
    }

    private static final class State {
        private Api.Member member;
        private InetSocketAddress address;
        private int failures;
        private double failedAt = Double.NEGATIVE_INFINITY;
        private double fullAt = Double.NEGATIVE_INFINITY;
    }

    private final Map<Long, State> servers = new HashMap<>();
    private final double warmUp;
    private final EligibilityCheck judge;
    private volatile List<Api.Member> members = List.of();

    /** @param warmUp seconds after its start for which a server is cold */
    public ServerStates(double warmUp, EligibilityCheck judge) {
        this.warmUp = warmUp;
        this.judge = judge;
    }

    /** What the list says of a server now. */
    public void listed(Api.Member member, InetSocketAddress address) {
        if (member.state() == Api.MemberState.GONE) {
            left(member.id());
            return;
        }
        State s = servers.computeIfAbsent(member.id(), id -> new State());
        s.member = member;
        s.address = address;
        publish();
    }

    /** A server that the list names no more. */
    public void left(long server) {
        servers.remove(server);
        publish();
    }

    private void publish() {
        members = servers.values().stream()
                .map(s -> s.member)
                .sorted(java.util.Comparator.comparingLong(Api.Member::id))
                .toList();
    }

    /** All on the list; from any thread. */
    public List<Api.Member> members() {
        return members;
    }

    /** Null where there is no such server. */
    InetSocketAddress address(long server) {
        State s = servers.get(server);
        return s == null ? null : s.address;
    }

    /** Null where there is no such server. */
    Api.Member member(long server) {
        State s = servers.get(server);
        return s == null ? null : s.member;
    }

    /** A real execution has ended. */
    void ended(double now, long server, Api.Outcome outcome) {
        State s = servers.get(server);
        if (s == null) {
            return;
        }
        switch (outcome) {
            case OK, MISS -> s.failures = 0;
            case FULL -> s.fullAt = now;
            case ERROR, TIMEOUT, CONNECT_FAILED, RESET -> {
                s.failures++;
                s.failedAt = now;
            }
            default -> {}
        }
    }

    Eligibility of(double now, long server) {
        State s = servers.get(server);
        if (s == null) {
            return Eligibility.ABSENT;
        }
        if (s.member.state() != Api.MemberState.READY) {
            return Eligibility.DRAINING;
        }
        if (s.member.startedAt() > 0 && now - s.member.startedAt() < warmUp) {
            return Eligibility.COLD;
        }
        if (s.failures >= FAILURES && now - s.failedAt < OPEN) {
            return Eligibility.OPEN;
        }
        return now - s.fullAt < CROWDED ? Eligibility.CROWDED : judge.of(now, server);
    }
}
