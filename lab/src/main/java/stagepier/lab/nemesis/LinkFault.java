package stagepier.lab.nemesis;

import java.util.List;
import java.util.Set;

/**
 * One thing that goes wrong between processes, by script.
 *
 * @param shape  what it is
 * @param at     seconds after the start of the load
 * @param lasts  seconds until it is over
 * @param a      routers of the one side; discovery and cache nodes are always on the other
 * @param b      routers of the other side; empty for all that are in neither {@code a} nor {@code via}
 * @param via    routers that hear both sides of a bridge
 * @param links  the links that it lies on
 * @param part   part of what passes that is lost, doubled, overtaken or cut
 * @param delay  seconds
 * @param jitter seconds
 * @param period seconds from one beginning of a flap to the next; the sides are apart for the first half of each
 */
public record LinkFault(
        Shape shape,
        double at,
        double lasts,
        List<Integer> a,
        List<Integer> b,
        List<Integer> via,
        Set<Link> links,
        double part,
        double delay,
        double jitter,
        double period)
        implements TimedFault {
    /** Named shapes. */
    public enum Shape {
        /** Neither side hears the other. */
        PARTITION,
        /** The same, but for those who hear both. */
        BRIDGE,
        /** {@code b} does not hear {@code a}. */
        ONE_WAY,
        /** A partition that comes and goes. */
        FLAP,
        /** All that {@code a} says and hears is late. */
        SLOW,
        /** Between the sides a part is lost. */
        DROP,
        /** Between the sides all is late. */
        DELAY,
        /** Between the sides a part arrives twice. */
        DUPLICATE,
        /** Between the sides a part is overtaken. */
        REORDER,
        /** Connections between the sides break in the middle of a message. */
        CUT
    }

    /** When it is over. */
    public double until() {
        return at + lasts;
    }

    /** What it does at that time to what goes from one party to another on that link. */
    LinkConditions on(Link link, int from, int to, double now) {
        if (now < at || now >= until() || !links.contains(link)) {
            return LinkConditions.NONE;
        }
        boolean there = isInA(from) && isInB(to);
        boolean apart = there || isInA(to) && isInB(from);
        return switch (shape) {
            case PARTITION, BRIDGE -> apart ? LinkConditions.DROP_ALL : LinkConditions.NONE;
            case FLAP -> apart && (now - at) % period < period / 2 ? LinkConditions.DROP_ALL : LinkConditions.NONE;
            case ONE_WAY -> there ? LinkConditions.DROP_ALL : LinkConditions.NONE;
            case SLOW -> isInA(from) || isInA(to) ? late() : LinkConditions.NONE;
            case DELAY -> apart ? late() : LinkConditions.NONE;
            case DROP -> apart ? new LinkConditions(part, 0, 0, 0, 0, 0) : LinkConditions.NONE;
            case DUPLICATE -> apart ? new LinkConditions(0, 0, 0, part, 0, 0) : LinkConditions.NONE;
            case REORDER -> apart ? new LinkConditions(0, 0, 0, 0, part, 0) : LinkConditions.NONE;
            case CUT -> apart ? new LinkConditions(0, 0, 0, 0, 0, part) : LinkConditions.NONE;
        };
    }

    private LinkConditions late() {
        return new LinkConditions(0, delay, jitter, 0, 0, 0);
    }

    private boolean isInA(int party) {
        return a.contains(party);
    }

    private boolean isInB(int party) {
        return party <= Link.AGENT || (b.isEmpty() ? !a.contains(party) && !via.contains(party) : b.contains(party));
    }
}
