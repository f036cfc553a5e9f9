package stagepier.invariants;

import java.util.Locale;
import java.util.function.ObjLongConsumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Checks invariants at run time and counts each violation. Changes nothing: who asks decides what to do. On one thread. */
public final class InvariantMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(InvariantMonitor.class);
    /** Violations of one invariant that are logged; beyond that they are only counted. */
    private static final int LOGGED_MOST = 20;

    private final long[] violations = new long[Invariant.values().length];

    /**
     * Notes whether an invariant holds at this moment.
     *
     * @param detail what was violated where, for the log; asked only if it was
     * @return whether it holds
     */
    public boolean check(Invariant invariant, boolean holds, Supplier<String> detail) {
        if (!holds) {
            violations[invariant.ordinal()]++;
            if (violations[invariant.ordinal()] <= LOGGED_MOST) {
                LOG.error("violated: {}: {}", invariant, detail.get());
            }
        }
        return holds;
    }

    /** How often an invariant was violated. */
    public long violations(Invariant invariant) {
        return violations[invariant.ordinal()];
    }

    /** Tells each count by its name. */
    public void count(ObjLongConsumer<String> to) {
        for (Invariant invariant : Invariant.values()) {
            to.accept("violations_" + invariant.name().toLowerCase(Locale.ROOT), violations[invariant.ordinal()]);
        }
    }
}
