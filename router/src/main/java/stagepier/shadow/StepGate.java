package stagepier.shadow;

import java.time.Instant;
import stagepier.freeze.Calendar;
import stagepier.freeze.Change;

/**
 * The share of the keys that this router lets the candidate serve. It follows the plan, except that a step up is
 * postponed while the calendar is not open and taken once it is, and that a wall clock that is set back moves no key
 * back. Steps down are always taken: a rollback returns to the previous map. Not shared between tasks.
 */
final class StepGate {
    private static final Change PROMOTE = new Change(Change.Kind.PROMOTE, "", "");

    private String mapText = "";
    private int share;

    /** @return the share in parts per ten thousand */
    int update(PromotionPlan current, Calendar calendar, Instant wall, long nanoTime) {
        if (current == null) {
            return share;
        }
        String map = current.map();
        if (!map.equals(mapText)) {
            // The share that an earlier candidate had reached does not apply to this one.
            share = 0;
            mapText = map;
        }
        int due = current.share(wall.toEpochMilli());
        if (current.isRollback()) {
            // A rollback never raises the share: a router that was held below the others does not catch up with them
            // first.
            share = Math.min(share, due);
        } else if (due > share && calendar.ask(PROMOTE, wall, nanoTime).permit() == Calendar.Permit.OPEN) {
            share = due;
        }
        return share;
    }
}
