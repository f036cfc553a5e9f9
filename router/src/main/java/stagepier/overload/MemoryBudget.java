package stagepier.overload;

import java.util.ArrayDeque;

/**
 * A memory budget in bytes that is shared by several owners. An owner that finds no room waits in a queue and is called
 * back when there may be room. A request is always granted while nothing is taken, so that a large one does not wait
 * forever. Performs no I/O and reads no clock.
 */
public final class MemoryBudget {
    private final long limit;
    private long taken;
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private long waits;

    /** @param limit bytes that all owners may hold together */
    public MemoryBudget(long limit) {
        this.limit = limit;
    }

    /** Takes that number of bytes if there is room; returns whether it did. */
    public boolean take(int bytes) {
        if (taken > 0 && taken + bytes > limit) {
            return false;
        }
        taken += bytes;
        return true;
    }

    /** Registers a callback that is called once after bytes were released. */
    public void await(Runnable callback) {
        waits++;
        waiting.add(callback);
    }

    /** Returns bytes to the budget; waiting owners are called in the order in which they came. */
    public void release(int bytes) {
        if (bytes == 0) {
            return;
        }
        taken -= bytes;
        for (int n = waiting.size(); n > 0 && taken < limit; n--) {
            waiting.remove().run();
        }
    }

    public long taken() {
        return taken;
    }

    /** Number of times that an owner had to wait. */
    public long waits() {
        return waits;
    }
}
