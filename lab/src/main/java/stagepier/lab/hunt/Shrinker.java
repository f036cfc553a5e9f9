package stagepier.lab.hunt;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Makes a schedule that fails smaller while it goes on failing: first fewer steps, by delta debugging (Zeller and Hildebrandt,
 * <i>Simplifying and isolating failure-inducing input</i>, 2002), then shorter and earlier ones.
 */
public final class Shrinker {
    private static final double SHORTEST = 0.5;
    private static final double EARLIEST = 2;

    private final ScheduleRunner player;
    private final Set<String> broken;
    private final int playsMost;
    private int plays;

    /**
     * @param broken    what the schedule broke: one of these has to break again
     * @param playsMost after so many plays the smallest found so far is what there is
     */
    public Shrinker(ScheduleRunner player, Set<String> broken, int playsMost) {
        this.player = player;
        this.broken = Set.copyOf(broken);
        this.playsMost = playsMost;
    }

    public int plays() {
        return plays;
    }

    /** The smallest that was found; the schedule itself where nothing smaller fails. */
    public List<Step> shrink(List<Step> schedule) throws InterruptedException {
        return times(steps(schedule));
    }

    private boolean fails(List<Step> schedule) throws InterruptedException {
        if (plays >= playsMost || schedule.isEmpty()) {
            return false;
        }
        plays++;
        return player.play(schedule).stream().anyMatch(broken::contains);
    }

    private List<Step> steps(List<Step> all) throws InterruptedException {
        List<Step> now = all;
        int parts = 2;
        while (now.size() > 1) {
            List<Step> smaller = part(now, Math.min(parts, now.size()));
            if (smaller != null) {
                now = smaller;
                parts = 2;
            } else if (parts >= now.size()) {
                break;
            } else {
                parts *= 2;
            }
        }
        return now;
    }

    /** A part, or all without it, that fails by itself; null for none. */
    private List<Step> part(List<Step> all, int parts) throws InterruptedException {
        for (boolean without : new boolean[] {false, true}) {
            for (int i = 0; i < parts && !(without && parts == 2); i++) {
                int from = i * all.size() / parts;
                int to = (i + 1) * all.size() / parts;
                List<Step> some = new ArrayList<>(without ? all : all.subList(from, to));
                if (without) {
                    some.subList(from, to).clear();
                }
                if (fails(some)) {
                    return some;
                }
            }
        }
        return null;
    }

    private List<Step> times(List<Step> all) throws InterruptedException {
        List<Step> now = new ArrayList<>(all);
        boolean better = true;
        while (better) {
            better = false;
            for (int i = 0; i < now.size(); i++) {
                Step step = now.get(i);
                double shorter = half(step.lasts());
                double earlier = Math.max(EARLIEST, half(step.at()));
                better |= shorter < step.lasts() && take(now, i, step.with(step.at(), shorter));
                step = now.get(i);
                better |= earlier < step.at() && take(now, i, step.with(earlier, step.lasts()));
            }
        }
        return now;
    }

    private boolean take(List<Step> now, int i, Step instead) throws InterruptedException {
        Step before = now.set(i, instead);
        if (fails(now)) {
            return true;
        }
        now.set(i, before);
        return false;
    }

    /** On whole halves of a second, rounded down, but never to nothing. */
    private static double half(double seconds) {
        return Math.max(SHORTEST, Math.floor(seconds) / 2);
    }
}
