package stagepier.shadow;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * By when which part of the keys is served by the candidate: agreed by a majority, and from there on a function of time alone, so
 * that routers whose clocks are alike serve alike. A key goes over when the share passes its place in {@link Slice}, and never
 * back but by a rollback: two routers whose clocks differ by no more than the stated skew differ only in the keys of one step,
 * and only within that skew of its moment. Pure; times in milliseconds of the wall clock.
 *
 * @param map    canonical text of the candidate
 * @param start  share before the first step, in parts per ten thousand
 * @param shares after each step
 * @param from   moment of the first step
 * @param apart  between two steps
 */
public record PromotionPlan(String map, int start, List<Integer> shares, long from, long apart) {
    private static final Gson GSON = new Gson();

    /** The steps that a candidate names. */
    public static PromotionPlan of(CandidateMap map, long from) {
        return new PromotionPlan(map.text(), 0, map.steps(), from, Math.round(map.stepSeconds() * 1e3));
    }

    /** From the share that is reached at a moment back to none, by the same steps at the pace of a rollback. */
    public PromotionPlan back(CandidateMap candidate, long moment) {
        int reached = share(moment);
        List<Integer> down = new ArrayList<>(candidate.steps());
        down.removeIf(share -> share >= reached);
        Collections.reverse(down);
        down.add(0);
        long pace = Math.round(candidate.backSeconds() * 1e3);
        return new PromotionPlan(map, reached, pace == 0 ? List.of(0) : down, moment, pace);
    }

    /** Parts per ten thousand of the keys that the candidate serves at a moment. */
    public int share(long moment) {
        if (moment < from) {
            return start;
        }
        long step = apart <= 0 ? shares.size() - 1 : (moment - from) / apart;
        return shares.get((int) Math.min(shares.size() - 1, step));
    }

    public boolean isBack() {
        return shares.get(shares.size() - 1) == 0;
    }

    /** Moments at which something changes. */
    public List<Long> moments() {
        List<Long> moments = new ArrayList<>();
        for (int i = 0; i < shares.size(); i++) {
            moments.add(from + i * apart);
        }
        return moments;
    }

    public String text() {
        return GSON.toJson(this);
    }

    /** @throws IllegalArgumentException where it makes no sense */
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
                || plan.shares.stream().anyMatch(s -> s == null || s < 0 || s > Slice.WHOLE)) {
            throw new IllegalArgumentException("not a promotion");
        }
        return plan;
    }
}
