package stagepier.lab.model;

import java.util.ArrayDeque;
import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;

/** The slow origin that all cache nodes share. Pure: told the time, it tells when a fetch is done. */
public final class OriginModel {
    /** Why a fetch is made. */
    public enum Cause {
        PLAIN_MISS,
        COLD_NODE,
        VOID,
        WRITE
    }

    /**
     * What it can do.
     *
     * @param places       fetches in work at a time
     * @param service      seconds that one takes on the average
     * @param queueMost    seconds that one may have to wait; beyond that it is turned away
     * @param fallMultiple sent so many times its capacity ...
     * @param fallSpan     ... for so long, in seconds, it stops ...
     * @param down         ... for so long
     */
    public record Traits(
            int places, double service, double queueMost, double fallMultiple, double fallSpan, double down) {
        /** Fetches a second that it can do. */
        public double capacity() {
            return places / service;
        }
    }

    private record Sent(double at, Cause cause) {}

    private final Traits traits;
    private final UniformRandomProvider random;
    private final double[] freeAt;
    private final ArrayDeque<Sent> recent = new ArrayDeque<>();
    private final long[] byCause = new long[Cause.values().length];
    private double stoppedUntil = Double.NEGATIVE_INFINITY;
    private int stops;
    private double coldPartAtStop;

    public OriginModel(Traits traits, UniformRandomProvider random) {
        this.traits = traits;
        this.random = random;
        freeAt = new double[traits.places()];
    }

    /** When a fetch sent now is done, or NaN where it is turned away or the origin has stopped. */
    public double fetch(double now, Cause cause) {
        byCause[cause.ordinal()]++;
        recent.add(new Sent(now, cause));
        while (now - recent.peek().at() > traits.fallSpan()) {
            recent.remove();
        }
        if (now < stoppedUntil) {
            return Double.NaN;
        }
        if (recent.size() > traits.fallMultiple() * traits.capacity() * traits.fallSpan()) {
            stops++;
            coldPartAtStop =
                    recent.stream().filter(s -> s.cause() == Cause.COLD_NODE).count() / (double) recent.size();
            stoppedUntil = now + traits.down();
            Arrays.fill(freeAt, stoppedUntil);
            return Double.NaN;
        }
        int place = 0;
        for (int i = 1; i < freeAt.length; i++) {
            place = freeAt[i] < freeAt[place] ? i : place;
        }
        if (freeAt[place] - now > traits.queueMost()) {
            return Double.NaN;
        }
        freeAt[place] = Math.max(now, freeAt[place]) + traits.service() * (0.5 + random.nextDouble());
        return freeAt[place];
    }

    /** Fetches sent for that cause so far. */
    public long sent(Cause cause) {
        return byCause[cause.ordinal()];
    }

    public long sent() {
        return Arrays.stream(byCause).sum();
    }

    /** How often it has stopped. */
    public int stops() {
        return stops;
    }

    /** Part of what it was sent, in the span before it last stopped, that came from cold nodes. */
    public double coldPartAtStop() {
        return coldPartAtStop;
    }
}
