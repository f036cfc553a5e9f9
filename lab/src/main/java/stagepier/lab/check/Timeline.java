package stagepier.lab.check;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;

/**
 * Who ran and who heard whom, in steps of a tenth of a second; whatever happened for a part of a step holds for the whole of it.
 */
public final class Timeline {
    /** Who hears whom at a moment, as the lab had it. */
    @FunctionalInterface
    public interface Connectivity {
        boolean hears(int to, int from, double at);
    }

    /** Seconds of a step. */
    static final double STEP = 0.1;
    /** Looks into each step, so that what lasts for a part of it is seen. */
    private static final int LOOKS = 2;

    private final int routers;
    private final int steps;
    private final List<BitSet> runs = new ArrayList<>();
    /** By step: a bit for each pair; who hears, times the count of routers, plus who is heard. */
    private final List<BitSet> hears = new ArrayList<>();

    /**
     * @param still when each router, by its number, was down or stood still
     * @param until end of the run, in seconds
     */
    public Timeline(int routers, Map<Integer, List<Span>> still, Connectivity hearing, double until) {
        this.routers = routers;
        steps = (int) Math.ceil(until / STEP) + 1;
        for (int i = 0; i < steps; i++) {
            BitSet up = new BitSet();
            for (int r = 0; r < routers; r++) {
                double from = i * STEP;
                up.set(
                        r,
                        still.getOrDefault(r, List.of()).stream()
                                .noneMatch(s -> s.from() < from + STEP && s.until() > from));
            }
            runs.add(up);
            hears.add(pairs(hearing, i * STEP));
        }
    }

    private BitSet pairs(Connectivity hearing, double from) {
        BitSet pairs = new BitSet();
        for (int to = 0; to < routers; to++) {
            for (int of = 0; of < routers; of++) {
                boolean all = true;
                for (int look = 0; look < LOOKS && all; look++) {
                    all = hearing.hears(to, of, from + look * STEP / LOOKS);
                }
                pairs.set(to * routers + of, to == of || all);
            }
        }
        return pairs;
    }

    int routers() {
        return routers;
    }

    int steps() {
        return steps;
    }

    int step(double at) {
        return Math.max(0, Math.min(steps - 1, (int) Math.floor(at / STEP)));
    }

    boolean runs(int router, int step) {
        return runs.get(step).get(router);
    }

    /** Whether it ran all through, from a moment to another. */
    boolean runs(int router, double from, double until) {
        for (int i = step(from); i <= step(until); i++) {
            if (!runs(router, i)) {
                return false;
            }
        }
        return true;
    }

    private boolean both(int a, int b, int step) {
        return hears.get(step).get(a * routers + b) && hears.get(step).get(b * routers + a);
    }

    /** All that run and that a router which runs hears and is heard by, itself among them. */
    BitSet around(int router, int step) {
        BitSet side = new BitSet();
        for (int other = 0; other < routers; other++) {
            side.set(other, runs(other, step) && both(router, other, step));
        }
        return side;
    }

    /**
     * The side of a clean partition that a router is on: all in it hear each other, none of them hears or is heard by any other
     * one
     * that runs. Empty where there is no such side, as with a bridge or silence one way.
     */
    BitSet side(int router, int step) {
        BitSet side = around(router, step);
        for (int member = side.nextSetBit(0); member >= 0; member = side.nextSetBit(member + 1)) {
            if (!around(member, step).equals(side) || hearsOneWay(member, step)) {
                return new BitSet();
            }
        }
        return side;
    }

    private boolean hearsOneWay(int router, int step) {
        for (int other = 0; other < routers; other++) {
            if (runs(other, step)
                    && hears.get(step).get(router * routers + other)
                            != hears.get(step).get(other * routers + router)) {
                return true;
            }
        }
        return false;
    }

    /** Whether two routers were on the same clean side all through. */
    boolean together(int a, int b, double from, double until) {
        for (int i = step(from); i <= step(until); i++) {
            if (!runs(a, i) || !side(a, i).get(b)) {
                return false;
            }
        }
        return true;
    }

    /** Whether a router was, all through, on a clean side with so many routers at the least. */
    boolean among(int router, int least, double from, double until) {
        for (int i = step(from); i <= step(until); i++) {
            if (!runs(router, i) || side(router, i).cardinality() < least) {
                return false;
            }
        }
        return true;
    }
}
