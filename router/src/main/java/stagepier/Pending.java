package stagepier;

import java.util.Arrays;
import stagepier.Api.*;

/** A request that still needs its final answer, and the rules of its repeats. */
final class Pending {
    final Api.Request request;
    final RequestClass rules;
    final long point;
    final double deadlineAt;
    final double aimAt;
    /** By attempt: the server, and when it was sent. */
    final Server[] on;
    final double[] sentAt;
    int attempts;
    /** One bit for each attempt that is out. */
    int out;
    /** One bit for each attempt without proof that it never ran. */
    int mayHaveRun;
    boolean started;
    boolean missed;
    boolean expectsHit;
    boolean overShare;
    /** Fading count of requests for its key at this balancer. */
    double heat;

    Pending(Api.Request request, RequestClass rules, double now, long point, int most) {
        this.request = request;
        this.rules = rules;
        this.point = point;
        deadlineAt = now + request.budget();
        aimAt = now + rules.aim();
        on = new Server[most];
        sentAt = new double[most];
    }

    void onSend(double now, Server s) {
        on[attempts] = s;
        sentAt[attempts] = now;
        mayHaveRun |= 1 << attempts;
        out |= 1 << attempts;
        attempts++;
    }

    void onOutcome(int attempt, Outcome outcome) {
        out &= ~(1 << attempt);
        missed |= outcome == Outcome.MISS;
        if (outcome.neverRan()) {
            mayHaveRun &= ~(1 << attempt);
        }
    }

    boolean tried(Server s) {
        return Arrays.asList(on).contains(s);
    }

    /** The one place that decides whether a further send does no harm, whatever became of earlier ones. */
    boolean mayRepeat(double now, double tick, Server s) {
        if (mayHaveRun == 0) {
            return true;
        }
        int first = Integer.numberOfTrailingZeros(mayHaveRun);
        return switch (rules.repeat()) {
            case SAFE -> true;
            case UNSAFE -> false;
            case KEYED -> dropsRepeats(on[first], s) && now + tick < sentAt[first] + rules.dedupWindow();
        };
    }

    private boolean dropsRepeats(Server first, Server s) {
        Scope scope = rules.dedupScope();
        return scope == Scope.ALL || (scope == Scope.ZONE ? s.member.zone() == first.member.zone()
                : s.member.cell() == first.member.cell());
    }

    /** The one place that decides whether the client may be told that asking again does no harm. */
    boolean mayRefuse() {
        return mayHaveRun == 0 || rules.repeat() == Repeat.SAFE
                || rules.repeat() == Repeat.KEYED && rules.dedupScope() == Scope.ALL;
    }
}
