package stagepier.shadow;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A schedule of the share of the keys that the candidate serves. A majority agrees on it; after that, the share depends
 * on time alone, so that routers with synchronized clocks route alike. A key moves to the candidate when the share
 * passes its position in {@link Slice}, and moves back only in a rollback. Two routers whose clocks differ by no more
 * than the configured skew differ only in the keys of one step, and only within that skew of the step's time. Pure;
 * times in milliseconds of the wall clock.
 *
 * @param map canonical text of the candidate
 * @param start share before the first step, in parts per ten thousand
 * @param shares share after each step
 * @param from time of the first step
 * @param apart time between two steps
 */
public record PromotionPlan(String map, int start, List<Integer> shares, long from, long apart) {
    private static final Gson GSON = new Gson();

    /** Returns the plan with the steps that the candidate configures. */
    public static PromotionPlan of(CandidateMap map, long from) {
        return new PromotionPlan(map.text(), 0, map.steps(), from, Math.round(map.stepSeconds() * 1e3));
    }

    /**
     * Returns the rollback plan: from the share reached at a moment down to 0, through the same steps at the rollback
     * interval.
     */
    public PromotionPlan rollback(CandidateMap candidate, long moment) {
        int reached = share(moment);
        List<Integer> remaining = new ArrayList<>(candidate.steps());
        remaining.removeIf(share -> share >= reached);
        Collections.reverse(remaining);
        remaining.add(0);
        long interval = Math.round(candidate.backSeconds() * 1e3);
        return new PromotionPlan(map, reached, interval == 0 ? List.of(0) : remaining, moment, interval);
    }

    /** Returns the share of the keys that the candidate serves at a moment, in parts per ten thousand. */
    public int share(long moment) {
        if (moment < from) {
            return start;
        }
        long step = apart <= 0 ? shares.size() - 1 : (moment - from) / apart;
        return shares.get((int) Math.min(shares.size() - 1, step));
    }

    public boolean isRollback() {
        return shares.get(shares.size() - 1) == 0;
    }

    /** Returns the times of the steps. */
    public List<Long> stepTimes() {
        List<Long> stepTimes = new ArrayList<>();
        for (int i = 0; i < shares.size(); i++) {
            stepTimes.add(from + i * apart);
        }
        return stepTimes;
    }

    public String text() {
        return GSON.toJson(this);
    }

    /** @throws IllegalArgumentException if the text is not a valid plan */
    public static PromotionPlan parse(String text) {
        PromotionPlan plan;
        try {
            plan = GSON.fromJson(text, PromotionPlan.class);
        } catch (JsonParseException e) {
            throw new IllegalArgumentException("not a promotion", e);
        }
        if (plan == null
                || plan.map == null
                || plan.shares == null
                || plan.shares.isEmpty()
                || plan.apart < 0
                || plan.shares.stream().anyMatch(s -> s == null || s < 0 || s > Slice.POSITIONS)) {
            throw new IllegalArgumentException("not a promotion");
        }
        return plan;
    }
}
