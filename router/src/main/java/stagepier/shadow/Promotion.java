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

/** Has a candidate promoted or rolled back: asked for by staff, checked by verdict and calendar, agreed by a majority. */
final class Promotion {
    static final String TOPIC = "promotion";
    private static final Change PROMOTE = new Change(Change.Kind.PROMOTE, "", "");
    private static final Duration AGREED_WITHIN = Duration.ofSeconds(5);

    private final Tasks tasks;
    private final Agreement agreement;
    private final Supplier<Calendar> calendar;
    private final Supplier<FleetView> view;
    private final Duration lead;
    private final History history;
    private final StepGate gate = new StepGate();
    private Agreement.Accepted read;
    private PromotionPlan plan;
    private CandidateMap map;
    private int reportedShare;

    /** @param lead from the agreement to the first step: the time in which all hear of it, with what clocks may differ by */
    Promotion(
            Tasks tasks,
            Agreement agreement,
            Supplier<Calendar> calendar,
            Supplier<FleetView> view,
            Duration lead,
            History history) {
        this.tasks = tasks;
        this.agreement = agreement;
        this.calendar = calendar;
        this.view = view;
        this.lead = lead;
        this.history = history;
    }

    /**
     * Proposes that a candidate take the place of the real map.
     *
     * @return what came of it, for staff
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
        PromotionPlan now = plan();
        if (now != null && (!now.isBack() || share() > 0)) {
            // Guards against a file that is read again for another reason, and against keys that fall back to the real
            // map at once.
            return "not promoted: candidate " + map().id() + " is promoted or being rolled back; roll it back first";
        }
        PromotionPlan wanted = PromotionPlan.of(candidate, tasks.wall().millis() + lead.toMillis());
        String frozen = frozen(wanted);
        if (frozen != null) {
            return "not promoted: " + frozen;
        }
        return agreement.propose(TOPIC, wanted.text(), AGREED_WITHIN)
                ? "promotion agreed, first step in " + lead.toSeconds() + " s"
                : "promotion not agreed in time; it may yet be";
    }

    /** Proposes to go back. Passes in any state of the calendar. */
    String back() throws InterruptedException {
        PromotionPlan now = plan();
        if (now == null || now.isBack()) {
            return "nothing to roll back";
        }
        String text = now.back(map(), tasks.wall().millis() + lead.toMillis()).text();
        return agreement.propose(TOPIC, text, AGREED_WITHIN)
                ? "rollback agreed"
                : "rollback not agreed in time; it may yet be";
    }

    /** Why the calendar does not let the plan run, asked for now and for the moment of each step; null where it does. */
    private String frozen(PromotionPlan wanted) {
        long nano = tasks.nanoTime();
        Calendar.Answer now = calendar.get().ask(PROMOTE, tasks.wall().instant(), nano);
        if (now.permit() != Calendar.Permit.OPEN) {
            return now.permit() + ": " + now.reason();
        }
        for (long moment : wanted.moments()) {
            Calendar.Answer then = calendar.get().ask(PROMOTE, Instant.ofEpochMilli(moment), nano);
            if (then.permit() != Calendar.Permit.OPEN) {
                return "a step at " + Instant.ofEpochMilli(moment) + " would be " + then.permit() + ": "
                        + then.reason();
            }
        }
        return null;
    }

    /** The plan that this router has learnt of; null for none. */
    synchronized PromotionPlan plan() {
        Optional<Agreement.Accepted> latest = agreement.latest(TOPIC);
        if (latest.isPresent() && !latest.get().equals(read)) {
            read = latest.get();
            try {
                PromotionPlan agreed = PromotionPlan.parse(read.text());
                map = CandidateFile.parse("an agreed promotion", agreed.map()).map();
                plan = agreed;
            } catch (IllegalArgumentException | CandidateException e) {
                // What a majority agreed on was checked before; an unknown form leaves what was in force.
                history.write("promotion.unread", "why", String.valueOf(e.getMessage()));
            }
        }
        return plan;
    }

    synchronized CandidateMap map() {
        return plan() == null ? null : map;
    }

    /** Looks at time and calendar; returns the share of keys that the candidate serves here, in parts per ten thousand. */
    synchronized int share() {
        int share = gate.look(plan(), calendar.get(), tasks.wall().instant(), tasks.nanoTime());
        if (share != reportedShare) {
            reportedShare = share;
            history.write(
                    "shadow.promoted",
                    "version",
                    map.version(),
                    "share",
                    share,
                    "rollback",
                    String.valueOf(plan.isBack()),
                    "calendar",
                    calendar.get().version());
        }
        return share;
    }

    /** For staff; with the routers that hold another candidate than the one promoted. */
    synchronized String describe() {
        if (plan() == null) {
            return "promotion: none";
        }
        String stragglers = view.get().members().stream()
                .filter(m -> m.counts() && m.facts().candidate() != map.version())
                .map(FleetView.Member::name)
                .reduce((a, b) -> a + " " + b)
                .orElse("none");
        return "promotion: candidate " + map.id() + (plan.isBack() ? " rolled back" : "") + ", serves " + share()
                + " of 10000, due " + plan.share(tasks.wall().millis()) + ", stragglers " + stragglers;
    }
}
