package stagepier.shadow;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Supplier;
import stagepier.fleet.FleetView;
import stagepier.fleet.History;
import stagepier.freeze.Calendar;
import stagepier.freeze.Change;
import stagepier.tasks.Tasks;

/**
 * Promotes a candidate or rolls it back: requested by operators, checked against the verdict and the freeze calendar,
 * and agreed by a majority.
 */
final class Promotion {
    static final String TOPIC = "promotion";
    private static final Change PROMOTE = new Change(Change.Kind.PROMOTE, "", "");
    private static final Duration AGREEMENT_TIMEOUT = Duration.ofSeconds(5);

    private final Tasks tasks;
    private final Agreement agreement;
    private final Supplier<Calendar> calendar;
    private final Supplier<FleetView> view;
    private final Duration leadTime;
    private final History history;
    private final StepGate gate = new StepGate();
    private Agreement.Accepted lastAccepted;
    private PromotionPlan plan;
    private CandidateMap map;
    private int reportedShare;

    /**
     * @param leadTime time from the agreement to the first step, in which all routers learn of the plan; includes the
     *     clock skew
     */
    Promotion(
            Tasks tasks,
            Agreement agreement,
            Supplier<Calendar> calendar,
            Supplier<FleetView> view,
            Duration leadTime,
            History history) {
        this.tasks = tasks;
        this.agreement = agreement;
        this.calendar = calendar;
        this.view = view;
        this.leadTime = leadTime;
        this.history = history;
    }

    /**
     * Proposes that a candidate replace the map in use.
     *
     * @return the result, for operators
     */
    String promote(CandidateMap candidate, Verdict verdict, String stopped) throws InterruptedException {
        if (!stopped.isEmpty()) {
            return "not promoted: the candidate was stopped: " + stopped;
        }
        if (verdict.kind() != Verdict.Kind.BETTER && verdict.kind() != Verdict.Kind.NO_DIFFERENCE) {
            return "not promoted: the verdict is " + verdict.describe();
        }
        if (!view.get().majority()) {
            return "not promoted: this router is in no majority";
        }
        PromotionPlan current = plan();
        if (current != null && (!current.isRollback() || updateShare() > 0)) {
            // A reload of the file for another reason must not restart a promotion, and keys must not move back to the
            // map in use all at once.
            return "not promoted: candidate " + map().id() + " is promoted or being rolled back; roll it back first";
        }
        PromotionPlan proposed = PromotionPlan.of(candidate, tasks.wall().millis() + leadTime.toMillis());
        String freezeReason = freezeReason(proposed);
        if (freezeReason != null) {
            return "not promoted: " + freezeReason;
        }
        return agreement.propose(TOPIC, proposed.text(), AGREEMENT_TIMEOUT)
                ? "promotion agreed, first step in " + leadTime.toSeconds() + " s"
                : "promotion not agreed in time; it may yet be";
    }

    /** Proposes a rollback, which is permitted in any state of the calendar. */
    String rollBack() throws InterruptedException {
        PromotionPlan current = plan();
        if (current == null || current.isRollback()) {
            return "nothing to roll back";
        }
        String text = current.rollback(map(), tasks.wall().millis() + leadTime.toMillis())
                .text();
        return agreement.propose(TOPIC, text, AGREEMENT_TIMEOUT)
                ? "rollback agreed"
                : "rollback not agreed in time; it may yet be";
    }

    /**
     * Returns the reason why the calendar does not permit the plan, now or at the time of one of its steps; null if it
     * does.
     */
    private String freezeReason(PromotionPlan proposed) {
        long nano = tasks.nanoTime();
        Calendar.Answer now = calendar.get().ask(PROMOTE, tasks.wall().instant(), nano);
        if (now.permit() != Calendar.Permit.OPEN) {
            return now.permit() + ": " + now.reason();
        }
        for (long moment : proposed.stepTimes()) {
            Calendar.Answer then = calendar.get().ask(PROMOTE, Instant.ofEpochMilli(moment), nano);
            if (then.permit() != Calendar.Permit.OPEN) {
                return "a step at " + Instant.ofEpochMilli(moment) + " would be " + then.permit() + ": "
                        + then.reason();
            }
        }
        return null;
    }

    /** Returns the plan that this router has learned; null for none. */
    synchronized PromotionPlan plan() {
        Optional<Agreement.Accepted> latest = agreement.latest(TOPIC);
        if (latest.isPresent() && !latest.get().equals(lastAccepted)) {
            lastAccepted = latest.get();
            try {
                PromotionPlan agreed = PromotionPlan.parse(lastAccepted.text());
                map = CandidateFile.parse("an agreed promotion", agreed.map()).map();
                plan = agreed;
            } catch (IllegalArgumentException | CandidateException e) {
                // The text was checked before a majority agreed on it. If its format is unknown to this build, the
                // previous plan stays in force.
                history.write("promotion.unread", "why", String.valueOf(e.getMessage()));
            }
        }
        return plan;
    }

    synchronized CandidateMap map() {
        return plan() == null ? null : map;
    }

    /**
     * Evaluates time and calendar; returns the share of the keys that the candidate serves on this router, in parts per
     * ten thousand.
     */
    synchronized int updateShare() {
        int share = gate.update(plan(), calendar.get(), tasks.wall().instant(), tasks.nanoTime());
        if (share != reportedShare) {
            reportedShare = share;
            history.write(
                    "shadow.promoted",
                    "version",
                    map.version(),
                    "share",
                    share,
                    "rollback",
                    String.valueOf(plan.isRollback()),
                    "calendar",
                    calendar.get().version());
        }
        return share;
    }

    /**
     * Returns the status line for operators, including the routers that hold a candidate other than the promoted one.
     */
    synchronized String describe() {
        if (plan() == null) {
            return "promotion: none";
        }
        String stragglers = view.get().members().stream()
                .filter(m -> m.counts() && m.facts().candidate() != map.version())
                .map(FleetView.Member::name)
                .reduce((a, b) -> a + " " + b)
                .orElse("none");
        return "promotion: candidate " + map.id() + (plan.isRollback() ? " rolled back" : "") + ", serves "
                + updateShare() + " of 10000, due " + plan.share(tasks.wall().millis()) + ", stragglers " + stragglers;
    }
}
