package stagepier.lab.check;

/** What a fleet that decides together promises. */
public enum Guarantee {
    P1("the same view everywhere 3 s after the last fault, and for 60 s"),
    P2("no live, unbroken router is called gone"),
    P3("epochs never run back, and who is in no majority says so within 3 s"),
    P4("traffic between routers stays below its bound"),
    P5("accepted calendars form one sequence"),
    P6("no voluntary change inside a window accepted lease and skew before"),
    P7("what is not voluntary never waits for the fleet"),
    P8("proposals are accepted within 2 s, and known to all 3 s after healing"),
    P9("a shadow changes no real request"),
    P10("copies stay within the budget"),
    P11("merged counters are those of the histories"),
    P12("no key from two maps outside the step, no promotion in a freeze");

    private final String description;

    Guarantee(String description) {
        this.description = description;
    }

    public String description() {
        return description;
    }
}
