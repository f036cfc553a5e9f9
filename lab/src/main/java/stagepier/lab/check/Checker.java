package stagepier.lab.check;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Judges each promise by itself. */
public final class Checker {
    private Checker() {}

    /** One verdict a promise, in their order. */
    public static List<Verdict> judge(Evidence evidence) {
        ViewPromises view = new ViewPromises(evidence);
        CalendarPromises calendar = new CalendarPromises(evidence);
        ShadowPromises shadow = new ShadowPromises(evidence);
        Map<Promise, Supplier<Verdict>> judges = new EnumMap<>(Promise.class);
        judges.put(Promise.P1, view::settles);
        judges.put(Promise.P2, view::nobodyAliveIsGone);
        judges.put(Promise.P3, view::epochsAndMinorities);
        judges.put(Promise.P4, view::traffic);
        judges.put(Promise.P5, calendar::oneSequence);
        judges.put(Promise.P6, calendar::nothingInAWindow);
        judges.put(Promise.P7, calendar::othersNeverWait);
        judges.put(Promise.P8, calendar::inTime);
        judges.put(Promise.P9, shadow::nothingReal);
        judges.put(Promise.P10, shadow::withinBudget);
        judges.put(Promise.P11, shadow::countersAreSums);
        judges.put(Promise.P12, shadow::oneMap);
        return judges.entrySet().stream()
                .map(e -> judge(e.getKey(), e.getValue()))
                .toList();
    }

    /** A history that says what cannot be read keeps nothing. */
    private static Verdict judge(Promise promise, Supplier<Verdict> judge) {
        try {
            return judge.get();
        } catch (NumberFormatException e) {
            return Verdict.broken(promise, "a history holds what is no number: " + e.getMessage(), List.of());
        }
    }
}
