package stagepier.lab.check;

import java.util.List;

/**
 * What became of one promise.
 *
 * @param state KEPT only where something was seen that could have broken it
 * @param what  what is wrong, or what was looked at
 * @param lines the first counterexample, from the histories
 */
public record Verdict(Guarantee promise, State state, String what, List<String> lines) {
    /** How it turned out. */
    public enum State {
        KEPT,
        BROKEN,
        NOT_SEEN
    }

    private static final int LINES_MOST = 8;

    static Verdict kept(Guarantee promise, int looks) {
        return looks == 0
                ? new Verdict(promise, State.NOT_SEEN, "nothing in the run could have broken it", List.of())
                : new Verdict(promise, State.KEPT, looks + " looks", List.of());
    }

    static Verdict broken(Guarantee promise, String what, List<HistoryEntry> lines) {
        return new Verdict(
                promise,
                State.BROKEN,
                what,
                lines.stream().limit(LINES_MOST).map(HistoryEntry::toString).toList());
    }

    public boolean isBroken() {
        return state == State.BROKEN;
    }

    /** What it is, in one line. */
    @Override
    public String toString() {
        return "%s %s: %s"
                .formatted(
                        promise,
                        state == State.NOT_SEEN ? "not seen" : state.name().toLowerCase(java.util.Locale.ROOT),
                        state == State.BROKEN ? what : promise.description() + " (" + what + ")");
    }
}
