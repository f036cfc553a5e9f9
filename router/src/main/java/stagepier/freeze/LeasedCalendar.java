package stagepier.freeze;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * The calendar as a majority confirmed it at one moment; it is relied on for the lease from then. Immutable; asking it makes
 * nothing and waits for nothing.
 *
 * <p>The wall clock is believed as long as it has gone on since the confirmation by what monotonic time says; where it jumped,
 * nothing is known until the next confirmation has compared it with the others' clocks.
 */
final class LeasedCalendar implements Calendar {
    /** A wall clock that is drawn to the right time bit by bit stays below this between two confirmations. */
    static final long JUMP_MS = 500;

    private static final Answer OPEN = new Answer(Permit.OPEN, "");
    private static final Answer LEASE = unknown("no majority confirmed the calendar within the lease");
    private static final Answer JUMPED = unknown("the wall clock jumped");
    private static final Answer BEYOND = unknown("the wall clock is beyond what was looked up");

    /** What it looks up of the windows at once: the lease is far shorter. */
    private static final Duration AHEAD = Duration.ofHours(2);

    /** A window at one time, and what is answered in it. */
    private record Held(long startMs, long endMs, Scope scope, String name, Answer answer) {}

    private final Version version;
    private final Answer closed;
    private final Held[] held;
    private final long startNano;
    private final long startWallMs;
    private final long leaseNano;
    private final long lookedUpMs;

    private LeasedCalendar(
            Version version,
            Answer closed,
            Held[] held,
            long startNano,
            long startWallMs,
            long leaseNano,
            long lookedUpMs) {
        this.version = version;
        this.closed = closed;
        this.held = held;
        this.startNano = startNano;
        this.startWallMs = startWallMs;
        this.leaseNano = leaseNano;
        this.lookedUpMs = lookedUpMs;
    }

    private static Answer unknown(String why) {
        return new Answer(Permit.UNKNOWN, why);
    }

    /** Nothing is known, whatever the time. */
    static LeasedCalendar closed(Version version, String why) {
        return new LeasedCalendar(version, unknown(why), new Held[0], 0, 0, 0, 0);
    }

    /**
     * @param windows   of the accepted calendar
     * @param startNano when the confirmation began, in the time of {@code Tasks}
     * @param startWall the wall clock then
     * @param skew      by how much each window begins early and ends late
     */
    static LeasedCalendar of(
            Version version, Windows windows, long startNano, Instant startWall, Duration lease, Duration skew) {
        Instant to = startWall.plus(AHEAD);
        List<Window.Span> spans = windows.spans(startWall.minus(skew).minus(Duration.ofMinutes(1)), to.plus(skew));
        Held[] held = spans.stream()
                .map(s -> new Held(
                        s.startMs() - skew.toMillis(),
                        s.endMs() + skew.toMillis(),
                        s.window().scope(),
                        s.window().name(),
                        new Answer(
                                Permit.FROZEN,
                                s.window().name() + ": " + s.window().reason())))
                .toArray(Held[]::new);
        return new LeasedCalendar(
                version, null, held, startNano, startWall.toEpochMilli(), lease.toNanos(), to.toEpochMilli());
    }

    /** The same windows, confirmed again; null where they have to be looked up again. */
    LeasedCalendar again(Version confirmed, long atNano, long atWallMs) {
        boolean same = closed == null
                && confirmed.equals(version)
                && atWallMs >= startWallMs
                && atWallMs + AHEAD.toMillis() / 2 < lookedUpMs;
        return same ? new LeasedCalendar(version, null, held, atNano, atWallMs, leaseNano, lookedUpMs) : null;
    }

    @Override
    public long version() {
        return version.packed();
    }

    Version accepted() {
        return version;
    }

    @Override
    public Answer ask(Change change, Instant wall, long nanoTime) {
        long wallMs = wall.toEpochMilli();
        Answer known = known(wallMs, nanoTime);
        if (known != null) {
            return known;
        }
        for (Held h : held) {
            if (h.startMs <= wallMs && wallMs < h.endMs && h.scope.covers(change)) {
                return h.answer;
            }
        }
        return OPEN;
    }

    /** Why nothing is known at that moment; null where the calendar can be relied on. */
    private Answer known(long wallMs, long nanoTime) {
        if (closed != null) {
            return closed;
        }
        long since = nanoTime - startNano;
        if (since > leaseNano) {
            return LEASE;
        }
        if (Math.abs(wallMs - startWallMs - since / 1_000_000) > JUMP_MS) {
            return JUMPED;
        }
        return wallMs >= lookedUpMs ? BEYOND : null;
    }

    /** For {@code STATUS}: {@code open}, {@code frozen until ... by NAME} or {@code unknown: WHY}. */
    String state(Instant wall, long nanoTime) {
        Answer known = known(wall.toEpochMilli(), nanoTime);
        if (known != null) {
            return "unknown: " + known.reason();
        }
        long wallMs = wall.toEpochMilli();
        Held last = null;
        for (Held h : held) {
            if (h.startMs <= wallMs && wallMs < h.endMs && (last == null || h.endMs > last.endMs)) {
                last = h;
            }
        }
        return last == null
                ? "open"
                : "frozen until " + Instant.ofEpochMilli(last.endMs) + " by " + last.name
                        + (last.scope.what() == Scope.What.ALL ? "" : " (" + last.scope + ")");
    }
}
