package stagepier;

import java.util.Arrays;
import stagepier.Api.*;

/** A request that still needs its final answer, and the rules of its repeats. */
final class Pending {
    /** Attempts at the most, whatever the settings say: each is a bit. */
    private static final int MOST_ATTEMPTS = 16;

    final Api.Request request;
    final RequestClass rules;
    final long point;
    final double deadlineAt;
    final double aimAt;
    final Server[] on;
    final double[] sentAt;
    int attempts;
    /** One bit for each attempt that is out, and for each without proof that it never ran. */
    int out;

    int mayHaveRun;
    boolean started;
    boolean missed;
    boolean expectsHit;
    boolean overShare;
    /** It was fetched, and its aim has passed without an answer. */
    boolean late;
    /** Fading count of requests for its key. */
    double heat;

    Pending(Api.Request request, RequestClass rules, double now, long point, int maxAttempts) {
        this.request = request;
        this.rules = rules;
        this.point = point;
        deadlineAt = now + request.budget();
        aimAt = now + rules.target();
        on = new Server[Math.max(1, Math.min(MOST_ATTEMPTS, maxAttempts))];
        sentAt = new double[on.length];
    }

    void onSend(double now, Server s) {
        on[attempts] = s;
        sentAt[attempts] = now;
        out |= 1 << attempts;
        mayHaveRun |= 1 << attempts++;
    }

    void onOutcome(int attempt, Outcome outcome) {
        out &= ~(1 << attempt);
        missed |= outcome == Outcome.MISS;
        mayHaveRun &= outcome.neverRan() ? ~(1 << attempt) : ~0;
    }

    boolean tried(Server s) {
        return Arrays.asList(on).contains(s);
    }

    private boolean isHarmless() {
        return mayHaveRun == 0 || rules.repeat() == Repeat.SAFE;
    }

    /** The one place that decides whether a further send does no harm, whatever became of earlier ones. */
    boolean mayRepeat(double now, double tick, Server s) {
        return isHarmless() || dropsRepeats(s) && now + tick < dropsUntil();
    }

    /** Seconds from now within which a further attempt has to begin, however long the host makes it wait. */
    double startWithin(double now) {
        boolean bounded = !isHarmless() && rules.repeat() == Repeat.KEYED;
        return bounded ? dropsUntil() - now : Double.POSITIVE_INFINITY;
    }

    private double dropsUntil() {
        return sentAt[Integer.numberOfTrailingZeros(mayHaveRun)] + rules.dedupWindow();
    }

    private boolean dropsRepeats(Server s) {
        Server first = on[Integer.numberOfTrailingZeros(mayHaveRun)];
        Scope scope = rules.dedupScope();
        boolean near = scope == Scope.ZONE ? s.zone == first.zone : s.cell == first.cell;
        return rules.repeat() == Repeat.KEYED && (scope == Scope.ALL || near);
    }

    /** The one place that decides whether the client may be told that asking again does no harm. */
    boolean mayRefuse() {
        return isHarmless() || rules.repeat() == Repeat.KEYED && rules.dedupScope() == Scope.ALL;
    }
}
