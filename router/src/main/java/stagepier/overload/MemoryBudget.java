package stagepier.overload;

import java.util.ArrayDeque;

/**
 * Memory that several owners share, in bytes. Who finds no room waits in line and is called once there may be some;
 * one alone always gets what it asks for, so that nobody waits for ever. Free of I/O and clock.
 */
public final class MemoryBudget {
    private final long most;
    private long taken;
    private final ArrayDeque<Runnable> line = new ArrayDeque<>();
    private long waits;

    /** @param most bytes that all owners may hold together */
    public MemoryBudget(long most) {
        this.most = most;
    }

    /** Whether so many bytes are the caller's from now on. */
    public boolean take(int bytes) {
        if (taken > 0 && taken + bytes > most) {
            return false;
        }
        taken += bytes;
        return true;
    }

    /** Calls back once, when bytes were given back. */
    public void await(Runnable call) {
        waits++;
        line.add(call);
    }

    /** Bytes that are no longer the caller's; those who wait are called in the order in which they came. */
    public void release(int bytes) {
        if (bytes == 0) {
            return;
        }
        taken -= bytes;
        for (int n = line.size(); n > 0 && taken < most; n--) {
            line.remove().run();
        }
    }

    public long taken() {
        return taken;
    }

    /** How often somebody had to wait. */
    public long waits() {
        return waits;
    }
}
