package stagepier;

import java.util.Arrays;
import stagepier.Api.*;

/** A request without a final answer yet, and the rules for repeating it. */
final class Pending {
    /** Upper limit on attempts whatever the settings say: each takes one bit of a mask. */
    private static final int MAX_ATTEMPTS = 16;

    final Api.Request request;
    final RequestClass rules;
    final long hash;
    final double deadlineAt;
    final double targetAt;
    final Server[] servers;
    final double[] sentAt;
    int attempts;
    /** Bit masks over attempts: those in flight, and those without proof that they never ran. */
    int inFlight;

    int mayHaveRun;
    boolean streaming;
    boolean missed;
    boolean expectsHit;
    boolean overShare;
    /** A likely fetch that was still unanswered when its target time passed. */
    boolean fetchLate;
    /** Decaying count of requests for its key. */
    double keyCount;

    Pending(Api.Request request, RequestClass rules, double now, long hash, int maxAttempts) {
        this.request = request;
        this.rules = rules;
        this.hash = hash;
        deadlineAt = now + request.budget();
        targetAt = now + rules.target();
        servers = new Server[Math.max(1, Math.min(MAX_ATTEMPTS, maxAttempts))];
        sentAt = new double[servers.length];
    }

    void onSend(double now, Server s) {
        servers[attempts] = s;
        sentAt[attempts] = now;
        inFlight |= 1 << attempts;
        mayHaveRun |= 1 << attempts++;
    }

    void onOutcome(int attempt, Outcome outcome) {
        inFlight &= ~(1 << attempt);
        missed |= outcome == Outcome.MISS;
        mayHaveRun &= outcome.neverRan() ? ~(1 << attempt) : ~0;
    }

    boolean hasTried(Server s) {
        return Arrays.asList(servers).contains(s);
    }

    private boolean isSafeToRepeat() {
        return mayHaveRun == 0 || rules.repeat() == Repeat.SAFE;
    }

    /** The single check whether a further send is safe, whatever the result of earlier attempts. */
    boolean mayRepeat(double now, double tick, Server s) {
        return isSafeToRepeat() || deduplicates(s) && now + tick < dedupEndsAt();
    }

    /** Returns the seconds within which a further attempt has to start, even if the host queues it. */
    double startWithin(double now) {
        boolean bounded = !isSafeToRepeat() && rules.repeat() == Repeat.KEYED;
        return bounded ? dedupEndsAt() - now : Double.POSITIVE_INFINITY;
    }

    private double dedupEndsAt() {
        return sentAt[Integer.numberOfTrailingZeros(mayHaveRun)] + rules.dedupWindow();
    }

    private boolean deduplicates(Server s) {
        Server first = servers[Integer.numberOfTrailingZeros(mayHaveRun)];
        Scope scope = rules.dedupScope();
        boolean sameGroup = scope == Scope.ZONE ? s.zone == first.zone : s.cell == first.cell;
        return rules.repeat() == Repeat.KEYED && (scope == Scope.ALL || sameGroup);
    }

    /** The single check whether the client may be told that repeating the request is safe. */
    boolean mayRefuse() {
        return isSafeToRepeat() || rules.repeat() == Repeat.KEYED && rules.dedupScope() == Scope.ALL;
    }
}
