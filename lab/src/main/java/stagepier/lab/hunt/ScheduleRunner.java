package stagepier.lab.hunt;

import java.util.List;
import java.util.Set;

/** Plays a schedule. */
@FunctionalInterface
public interface ScheduleRunner {
    /** Names of all rules and promises that were broken; empty for none. */
    Set<String> play(List<Step> schedule) throws InterruptedException;
}
