package stagepier.lab.nemesis;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import stagepier.lab.model.Randoms;

/**
 * What becomes of all that goes between the processes of a fleet: the faults of the scenario and those set while it runs. Free of
 * I/O and clock; for the same seed, faults and messages of a pair the fate of each message is the same.
 */
public final class Nemesis {
    private final Randoms randoms;
    private final List<LinkFault> faults;
    private final Map<String, UniformRandomProvider> chances = new HashMap<>();
    private double startedAt = Double.POSITIVE_INFINITY;

    public Nemesis(Randoms randoms, List<LinkFault> faults) {
        this.randoms = randoms;
        this.faults = new ArrayList<>(faults);
    }

    /** The load begins now: from here on faults count their time. */
    public void starts(double now) {
        startedAt = now;
    }

    /** One more fault, whose time counts from the start of the load like that of all others. */
    public void add(LinkFault fault) {
        faults.add(fault);
    }

    /** What is done now to what goes from one party to another. */
    public LinkConditions treatment(Link link, int from, int to, double now) {
        LinkConditions all = LinkConditions.NONE;
        for (LinkFault fault : faults) {
            all = all.and(fault.on(link, from, to, now - startedAt));
        }
        return all;
    }

    /** After how many seconds each copy of a datagram that is sent now arrives; empty where it is lost. */
    public double[] deliveries(Link link, int from, int to, double now) {
        return treatment(link, from, to, now).deliveries(chance(link, from, to));
    }

    /** Whether a piece of a stream that passes now is to be cut in its middle. */
    public boolean cuts(Link link, int from, int to, double now) {
        double cut = treatment(link, from, to, now).cut();
        return cut > 0 && chance(link, from, to).nextDouble() < cut;
    }

    /** Seconds by which a piece of a stream that passes now is late. */
    public double lateness(Link link, int from, int to, double now) {
        LinkConditions t = treatment(link, from, to, now);
        return t.delay() + (t.jitter() > 0 ? t.jitter() * chance(link, from, to).nextDouble() : 0);
    }

    private UniformRandomProvider chance(Link link, int from, int to) {
        return chances.computeIfAbsent(link + "-" + from + "-" + to, randoms::of);
    }
}
