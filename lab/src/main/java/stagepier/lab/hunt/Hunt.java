package stagepier.lab.hunt;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Plays schedules, a seed each, until one fails. */
public final class Hunt {
    /**
     * A schedule that fails.
     *
     * @param drawn  as the grammar had it
     * @param shrunk the smallest that still fails
     * @param broken rules and promises that the drawn one broke
     * @param plays  that the shrinking took
     */
    public record Found(long seed, List<Step> drawn, List<Step> shrunk, Set<String> broken, int plays) {
        /** A scenario that replays it: the one that was hunted in, and these faults. */
        public String scenario(String base) {
            return replay(base, shrunk);
        }
    }

    /** Who plays a seed's schedules. */
    @FunctionalInterface
    public interface ScheduleRunners {
        ScheduleRunner of(long seed);
    }

    private Hunt() {}

    /** A scenario's text with the faults of a schedule besides its own. */
    public static String replay(String base, List<Step> schedule) {
        StringBuilder text = new StringBuilder(base.stripTrailing()).append('\n');
        schedule.forEach(s -> text.append(s.toml()));
        return text.toString();
    }

    /**
     * @param first     seed
     * @param seeds     to be played at the most
     * @param playsMost for the shrinking
     * @param watcher   is told a line for each schedule
     * @return null where none failed
     */
    public static Found run(
            Grammar grammar, ScheduleRunners players, long first, int seeds, int playsMost, Consumer<String> watcher)
            throws InterruptedException {
        for (long seed = first; seed < first + seeds; seed++) {
            List<Step> schedule = grammar.draw(seed);
            ScheduleRunner player = players.of(seed);
            Set<String> broken = player.play(schedule);
            watcher.accept("seed %d: %d faults, %s"
                    .formatted(seed, schedule.size(), broken.isEmpty() ? "kept" : "broken: " + broken));
            if (!broken.isEmpty()) {
                Shrinker shrinker = new Shrinker(player, broken, playsMost);
                List<Step> shrunk = shrinker.shrink(schedule);
                return new Found(seed, schedule, shrunk, broken, shrinker.plays());
            }
        }
        return null;
    }
}
