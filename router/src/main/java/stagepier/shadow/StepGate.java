package stagepier.shadow;

import java.time.Instant;
import stagepier.freeze.Calendar;
import stagepier.freeze.Change;

/**
 * The share of keys that this router lets the candidate serve: that of the plan, but no step up is taken while the calendar is
 * not open; it is made good once it is, and a
 * wall clock that is set back takes no key back. Steps down always pass: a rollback goes to what was there before. Not shared
 * between tasks.
 */
final class StepGate {
    private static final Change PROMOTE = new Change(Change.Kind.PROMOTE, "", "");

    private String plan = "";
    private int share;

    /** @return parts per ten thousand */
    int look(PromotionPlan now, Calendar calendar, Instant wall, long nanoTime) {
        if (now == null) {
            return share;
        }
        String map = now.map();
        if (!map.equals(plan)) {
            // Another candidate: what the former one had reached is not its own.
            share = 0;
            plan = map;
        }
        int due = now.share(wall.toEpochMilli());
        if (now.isBack()) {
            // Never up: one that was held below the others does not follow them first.
            share = Math.min(share, due);
        } else if (due > share && calendar.ask(PROMOTE, wall, nanoTime).permit() == Calendar.Permit.OPEN) {
            share = due;
        }
        return share;
    }
}
