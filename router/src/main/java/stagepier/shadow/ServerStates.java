package stagepier.shadow;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stagepier.Api;

/**
 * The cache servers of the current list and the outcomes of the executions on them, copies included, which determine
 * whether copies may be sent to a server. Owned by the event loop; other threads read {@link #members}. Times in
 * seconds.
 */
public final class ServerStates {
    /** Seconds after a FULL outcome during which a server counts as crowded. */
    private static final double CROWDED_SECONDS = 1;
    /** Number of consecutive failures that count as an open circuit breaker, and the seconds for which they do. */
    private static final int FAILURE_THRESHOLD = 3;

    private static final double OPEN_SECONDS = 5;

    /** Checks what the routing module tracks itself: its circuit breakers and crowded servers. */
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
    private final EligibilityCheck eligibilityCheck;
    private volatile List<Api.Member> members = List.of();

    /** @param warmUp seconds after its start during which a server is cold */
    public ServerStates(double warmUp, EligibilityCheck eligibilityCheck) {
        this.warmUp = warmUp;
        this.eligibilityCheck = eligibilityCheck;
    }

    /** Updates a server from the list. */
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

    /** Removes a server that is no longer on the list. */
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

    /** Returns all servers on the list; may be called from any thread. */
    public List<Api.Member> members() {
        return members;
    }

    /** Returns null if the server is not on the list. */
    InetSocketAddress address(long server) {
        State s = servers.get(server);
        return s == null ? null : s.address;
    }

    /** Returns null if the server is not on the list. */
    Api.Member member(long server) {
        State s = servers.get(server);
        return s == null ? null : s.member;
    }

    /** Records the outcome of an execution. */
    void recordOutcome(double now, long server, Api.Outcome outcome) {
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
        if (s.failures >= FAILURE_THRESHOLD && now - s.failedAt < OPEN_SECONDS) {
            return Eligibility.OPEN;
        }
        return now - s.fullAt < CROWDED_SECONDS ? Eligibility.CROWDED : eligibilityCheck.of(now, server);
    }
}
