package stagepier.freeze;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * The calendar as confirmed by a majority, valid for one lease from the start of that confirmation. Immutable; queries
 * allocate nothing and do not block.
 *
 * <p>The wall clock is trusted as long as it has advanced since the confirmation by as much as monotonic time. After a
 * jump the calendar is unknown until the next confirmation has compared the clock with those of the other routers.
 */
final class LeasedCalendar implements Calendar {
    /** A clock that is slewed to the correct time deviates by less than this between two confirmations. */
    static final long MAX_CLOCK_JUMP_MS = 500;

    private static final Answer OPEN = new Answer(Permit.OPEN, "");
    private static final Answer LEASE_EXPIRED = unknown("no majority confirmed the calendar within the lease");
    private static final Answer CLOCK_JUMPED = unknown("the wall clock jumped");
    private static final Answer BEYOND_LOOKAHEAD = unknown("the wall clock is beyond what was looked up");

    /** The range of time for which windows are expanded; far longer than the lease. */
    private static final Duration LOOKAHEAD = Duration.ofHours(2);

    /** One occurrence of a window, and the answer during it. */
    private record FrozenSpan(long startMs, long endMs, Scope scope, String name, Answer answer) {}

    private final Version version;
    private final Answer closed;
    private final FrozenSpan[] frozenSpans;
    private final long startNano;
    private final long startWallMs;
    private final long leaseNano;
    private final long lookaheadEndMs;

    private LeasedCalendar(
            Version version,
            Answer closed,
            FrozenSpan[] frozenSpans,
            long startNano,
            long startWallMs,
            long leaseNano,
            long lookaheadEndMs) {
        this.version = version;
        this.closed = closed;
        this.frozenSpans = frozenSpans;
        this.startNano = startNano;
        this.startWallMs = startWallMs;
        this.leaseNano = leaseNano;
        this.lookaheadEndMs = lookaheadEndMs;
    }

    private static Answer unknown(String reason) {
        return new Answer(Permit.UNKNOWN, reason);
    }

    /** Creates a calendar that is unknown at any time. */
    static LeasedCalendar closed(Version version, String reason) {
        return new LeasedCalendar(version, unknown(reason), new FrozenSpan[0], 0, 0, 0, 0);
    }

    /**
     * Creates a calendar that a majority has confirmed.
     *
     * @param windows   of the accepted calendar
     * @param startNano when the confirmation began, in the time of {@code Tasks}
     * @param startWall the wall clock at that moment
     * @param skew      by how much each window begins early and ends late
     */
    static LeasedCalendar of(
            Version version, Windows windows, long startNano, Instant startWall, Duration lease, Duration skew) {
        Instant lookaheadEnd = startWall.plus(LOOKAHEAD);
        List<Window.Span> spans =
                windows.spans(startWall.minus(skew).minus(Duration.ofMinutes(1)), lookaheadEnd.plus(skew));
        FrozenSpan[] frozenSpans = spans.stream()
                .map(s -> new FrozenSpan(
                        s.startMs() - skew.toMillis(),
                        s.endMs() + skew.toMillis(),
                        s.window().scope(),
                        s.window().name(),
                        new Answer(
                                Permit.FROZEN,
                                s.window().name() + ": " + s.window().reason())))
                .toArray(FrozenSpan[]::new);
        return new LeasedCalendar(
                version,
                null,
                frozenSpans,
                startNano,
                startWall.toEpochMilli(),
                lease.toNanos(),
                lookaheadEnd.toEpochMilli());
    }

    /** Returns this calendar with a new lease, or null if its windows have to be expanded again. */
    LeasedCalendar renew(Version confirmed, long confirmedNano, long confirmedWallMs) {
        boolean same = closed == null
                && confirmed.equals(version)
                && confirmedWallMs >= startWallMs
                && confirmedWallMs + LOOKAHEAD.toMillis() / 2 < lookaheadEndMs;
        return same
                ? new LeasedCalendar(
                        version, null, frozenSpans, confirmedNano, confirmedWallMs, leaseNano, lookaheadEndMs)
                : null;
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
        Answer unavailable = unavailable(wallMs, nanoTime);
        if (unavailable != null) {
            return unavailable;
        }
        for (FrozenSpan h : frozenSpans) {
            if (h.startMs <= wallMs && wallMs < h.endMs && h.scope.covers(change)) {
                return h.answer;
            }
        }
        return OPEN;
    }

    /** Returns the answer if the calendar is unknown at that moment; null if it is valid. */
    private Answer unavailable(long wallMs, long nanoTime) {
        if (closed != null) {
            return closed;
        }
        long since = nanoTime - startNano;
        if (since > leaseNano) {
            return LEASE_EXPIRED;
        }
        if (Math.abs(wallMs - startWallMs - since / 1_000_000) > MAX_CLOCK_JUMP_MS) {
            return CLOCK_JUMPED;
        }
        return wallMs >= lookaheadEndMs ? BEYOND_LOOKAHEAD : null;
    }

    /**
     * Returns the state for {@code STATUS}: {@code open}, {@code frozen until ... by NAME} or {@code unknown: REASON}.
     */
    String state(Instant wall, long nanoTime) {
        Answer unavailable = unavailable(wall.toEpochMilli(), nanoTime);
        if (unavailable != null) {
            return "unknown: " + unavailable.reason();
        }
        long wallMs = wall.toEpochMilli();
        FrozenSpan last = null;
        for (FrozenSpan h : frozenSpans) {
            if (h.startMs <= wallMs && wallMs < h.endMs && (last == null || h.endMs > last.endMs)) {
                last = h;
            }
        }
        return last == null
                ? "open"
                : "frozen until " + Instant.ofEpochMilli(last.endMs) + " by " + last.name
                        + (last.scope.type() == Scope.Type.ALL ? "" : " (" + last.scope + ")");
    }
}
