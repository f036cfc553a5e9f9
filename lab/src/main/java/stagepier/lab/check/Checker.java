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
        ViewGuarantees view = new ViewGuarantees(evidence);
        CalendarGuarantees calendar = new CalendarGuarantees(evidence);
        ShadowGuarantees shadow = new ShadowGuarantees(evidence);
        Map<Guarantee, Supplier<Verdict>> judges = new EnumMap<>(Guarantee.class);
        judges.put(Guarantee.P1, view::settles);
        judges.put(Guarantee.P2, view::nobodyAliveIsGone);
        judges.put(Guarantee.P3, view::epochsAndMinorities);
        judges.put(Guarantee.P4, view::traffic);
        judges.put(Guarantee.P5, calendar::oneSequence);
        judges.put(Guarantee.P6, calendar::nothingInAWindow);
        judges.put(Guarantee.P7, calendar::othersNeverWait);
        judges.put(Guarantee.P8, calendar::inTime);
        judges.put(Guarantee.P9, shadow::nothingReal);
        judges.put(Guarantee.P10, shadow::withinBudget);
        judges.put(Guarantee.P11, shadow::countersAreSums);
        judges.put(Guarantee.P12, shadow::oneMap);
        return judges.entrySet().stream()
                .map(e -> judge(e.getKey(), e.getValue()))
                .toList();
    }

    /** A history that says what cannot be read keeps nothing. */
    private static Verdict judge(Guarantee promise, Supplier<Verdict> judge) {
        try {
            return judge.get();
        } catch (NumberFormatException e) {
            return Verdict.broken(promise, "a history holds what is no number: " + e.getMessage(), List.of());
        }
    }
}
