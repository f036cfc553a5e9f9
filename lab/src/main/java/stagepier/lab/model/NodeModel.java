package stagepier.lab.model;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/** A cache node's work and memory. Pure: told the time, it tells when work is done. */
public final class NodeModel {
    /**
     * What it can do.
     *
     * @param held         requests that it holds at a time, in work and waiting; beyond that it turns away
     * @param connections  connections that it holds; beyond that it turns away what comes on them
     * @param handshake    core seconds that a new connection costs
     * @param coldShare    part of its capacity at which it starts
     * @param warmUp       seconds in which it has all of it
     * @param fallMultiple while cold, sent so many times its present capacity ...
     * @param fallSpan     ... for so long, in seconds, it falls over ...
     * @param down         ... for so long
     * @param memory       copies that it keeps
     */
    public record Traits(
            int cores,
            double speed,
            int held,
            int connections,
            double handshake,
            double coldShare,
            double warmUp,
            double fallMultiple,
            double fallSpan,
            double down,
            int memory) {}

    private record Sent(double at, double work) {}

    private final Traits traits;
    private final double[] freeAt;
    private final Map<Long, Long> copies;
    private final ArrayDeque<Sent> recent = new ArrayDeque<>();
    private double startedAt;
    private double slowness = 1;
    private double recentWork;
    private int held;

    /** @param startedAt in seconds; negative infinity for one that has been running for long */
    public NodeModel(Traits traits, double startedAt) {
        this.traits = traits;
        freeAt = new double[traits.cores()];
        copies = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                return size() > traits.memory();
            }
        };
        restart(startedAt);
    }

    public Traits traits() {
        return traits;
    }

    /** A new process: cold, with nothing kept and nothing in work. */
    public void restart(double now) {
        startedAt = now;
        copies.clear();
        recent.clear();
        recentWork = 0;
        held = 0;
        Arrays.fill(freeAt, Double.NEGATIVE_INFINITY);
    }

    /** From now on all work takes so many times as long. */
    public void slow(double factor) {
        slowness = factor;
    }

    /** Part of its capacity that it has now. */
    public double share(double now) {
        double age = now - startedAt;
        return age >= traits.warmUp() ? 1 : traits.coldShare() + (1 - traits.coldShare()) * age / traits.warmUp();
    }

    public boolean isCold(double now) {
        return now - startedAt < traits.warmUp();
    }

    /** Whether one more request has a place; that one must be given back by {@link #release}. */
    public boolean hold() {
        if (held >= traits.held()) {
            return false;
        }
        held++;
        return true;
    }

    public void release() {
        held = Math.max(0, held - 1);
    }

    public int held() {
        return held;
    }

    /** When work of so many core seconds is done that begins as soon as a core is free. */
    public double work(double now, double coreSeconds) {
        int core = 0;
        for (int i = 1; i < freeAt.length; i++) {
            core = freeAt[i] < freeAt[core] ? i : core;
        }
        freeAt[core] = Math.max(now, freeAt[core]) + coreSeconds * slowness / (traits.speed() * share(now));
        return freeAt[core];
    }

    /** Counts what it is sent; returns whether that pushes it over, which only a cold one can be. */
    public boolean pushedOver(double now, double coreSeconds) {
        if (!isCold(now)) {
            recent.clear();
            recentWork = 0;
            return false;
        }
        recent.add(new Sent(now, coreSeconds));
        recentWork += coreSeconds;
        while (now - recent.peek().at() > traits.fallSpan()) {
            recentWork -= recent.remove().work();
        }
        double capacity = traits.cores() * traits.speed() * share(now) / slowness;
        return recentWork > traits.fallMultiple() * capacity * traits.fallSpan();
    }

    /** The version of its copy, or -1 where it keeps none. */
    public long copy(long key) {
        return copies.getOrDefault(key, -1L);
    }

    public void keep(long key, long version) {
        copies.put(key, version);
    }

    public void drop(long key) {
        copies.remove(key);
    }

    public int copies() {
        return copies.size();
    }
}
