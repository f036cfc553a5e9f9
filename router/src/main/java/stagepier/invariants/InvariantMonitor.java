package stagepier.invariants;

import java.util.Locale;
import java.util.function.ObjLongConsumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Checks invariants at run time and counts violations. Takes no action: that is left to the caller. On one thread. */
public final class InvariantMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(InvariantMonitor.class);
    /** Limit of logged violations for each invariant; further ones are only counted. */
    private static final int MAX_LOGGED = 20;

    private final long[] violations = new long[Invariant.values().length];

    /**
     * Counts and logs a violation unless the invariant holds at this moment.
     *
     * @param detail description of the violation for the log; evaluated only for a violation
     * @return whether the invariant holds
     */
    public boolean check(Invariant invariant, boolean holds, Supplier<String> detail) {
        if (!holds) {
            violations[invariant.ordinal()]++;
            if (violations[invariant.ordinal()] <= MAX_LOGGED) {
                LOG.error("invariant violated: {}: {}", invariant, detail.get());
            }
        }
        return holds;
    }

    /** Returns how often an invariant was violated. */
    public long violations(Invariant invariant) {
        return violations[invariant.ordinal()];
    }

    /** Reports each count under its name. */
    public void count(ObjLongConsumer<String> to) {
        for (Invariant invariant : Invariant.values()) {
            to.accept("violations_" + invariant.name().toLowerCase(Locale.ROOT), violations[invariant.ordinal()]);
        }
    }
}
