package stagepier.lab.hunt;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import stagepier.lab.model.Randoms;
import stagepier.lab.nemesis.Link;
import stagepier.lab.nemesis.LinkFault;
import stagepier.lab.nemesis.LinkFault.Shape;
import stagepier.lab.scenario.Fault;

/**
 * What schedules are drawn from. A schedule has 1 to 5 steps, each with equal chance one of
 *
 * <ul>
 *   <li>between routers, and between them and discovery: partition, bridge over 1 or 2 routers, one way, flap of 2 s, slow by
 * 200 ms and
 *       up to 50 ms more, delay of the same, a part of 0.05 of connections cut; sides of 1 up to half of the routers;</li>
 *   <li>of routers: kill without memory and standing still, of 1 up to half of them.</li>
 * </ul>
 *
 * Times lie on whole halves of a second, from 2 s on; a step lasts 1 to 6 s, a stand-still 4 s. All is over {@link #CALM} s
 * before the end.
 */
public final class Grammar {
    /** Seconds at the end of a run without any fault, in which a fleet has to settle. */
    public static final double CALM = 8;

    private static final int STEPS_MOST = 5;
    private static final double FIRST_AT = 2;
    private static final double LASTS_MOST = 6;
    private static final List<Shape> SHAPES =
            List.of(Shape.PARTITION, Shape.BRIDGE, Shape.ONE_WAY, Shape.FLAP, Shape.SLOW, Shape.DELAY, Shape.CUT);
    private static final int KINDS = SHAPES.size() + 2;

    private final int routers;
    private final double seconds;

    /**
     * @param routers in the fleet; at least 2
     * @param seconds of load
     * @throws IllegalArgumentException where there is no time for a fault
     */
    public Grammar(int routers, double seconds) {
        if (routers < 2 || seconds < FIRST_AT + LASTS_MOST + CALM) {
            throw new IllegalArgumentException(
                    "a hunt takes 2 routers and " + (FIRST_AT + LASTS_MOST + CALM) + " s of load at the least");
        }
        this.routers = routers;
        this.seconds = seconds;
    }

    /** Always the same for a seed. */
    public List<Step> draw(long seed) {
        UniformRandomProvider random = new Randoms(seed).of("schedule");
        List<Step> steps = new ArrayList<>();
        int count = 1 + random.nextInt(STEPS_MOST);
        for (int i = 0; i < count; i++) {
            steps.add(step(random));
        }
        return steps;
    }

    private Step step(UniformRandomProvider random) {
        int kind = random.nextInt(KINDS);
        double lasts = 1 + half(random, LASTS_MOST - 1);
        double at = FIRST_AT + half(random, seconds - CALM - LASTS_MOST - FIRST_AT);
        List<Integer> all = new ArrayList<>();
        for (int r = 0; r < routers; r++) {
            all.add(r);
        }
        for (int i = routers - 1; i > 0; i--) {
            Collections.swap(all, i, random.nextInt(i + 1));
        }
        int size = 1 + random.nextInt(Math.max(1, routers / 2));
        List<Integer> side = sorted(all.subList(0, size));
        if (kind >= SHAPES.size()) {
            boolean kill = kind == SHAPES.size();
            return new Step.OfRouters(new Fault(
                    kill ? Fault.Kind.ROUTER_KILL : Fault.Kind.ROUTER_STALL, at, kill ? lasts : 4, side, 0, 0));
        }
        Shape shape = SHAPES.get(kind);
        // Between two routers there is no third that bridges.
        boolean bridges = shape == Shape.BRIDGE && routers > size + 1;
        List<Integer> via =
                bridges ? sorted(all.subList(size, Math.min(routers - 1, size + 1 + random.nextInt(2)))) : List.of();
        return new Step.OfLinks(new LinkFault(
                shape == Shape.BRIDGE && !bridges ? Shape.PARTITION : shape,
                at,
                lasts,
                side,
                List.of(),
                via,
                EnumSet.of(Link.PEERS, Link.DISCOVERY, Link.FLEET),
                shape == Shape.CUT ? 0.05 : 0.3,
                0.2,
                0.05,
                2));
    }

    private static double half(UniformRandomProvider random, double most) {
        return random.nextInt((int) (most * 2) + 1) / 2.0;
    }

    private static List<Integer> sorted(List<Integer> some) {
        return some.stream().sorted().toList();
    }
}
