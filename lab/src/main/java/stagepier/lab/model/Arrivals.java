package stagepier.lab.model;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Draws all requests of a run ahead: an open loop, in which no answer that is late holds back the next request. */
public final class Arrivals {
    /** How the rate goes with time. */
    public enum Shape {
        STEADY,
        WAVE,
        BURST
    }

    /**
     * What is asked for.
     *
     * @param rate    requests a second on the average
     * @param seconds length of the load
     * @param swing   part of the rate by which a wave rises and falls, or times the rate of a burst
     * @param routers how many routers it is spread over
     * @param skew    0 where routers get the same; 1 where the busiest gets several times the least
     */
    public record Demand(
            double rate,
            double seconds,
            Shape shape,
            double swing,
            int routers,
            double skew,
            int keys,
            double zipf,
            double drift,
            int tenants) {}

    private static final double WAVE_PERIOD = 20;
    private static final double BURST_EVERY = 10;
    private static final double BURST_LASTS = 1;

    private Arrivals() {}

    /** The plan, in the order of time; the same for the same seed and demand. */
    public static List<PlannedRequest> draw(Randoms randoms, Demand d, List<RequestKind> kinds) {
        UniformRandomProvider times = randoms.of("arrivals");
        UniformRandomProvider rest = randoms.of("requests");
        KeySource keys = new KeySource(randoms.of("keys"), d.keys(), d.zipf(), d.drift());
        double most = d.rate()
                * (d.shape() == Shape.STEADY ? 1 : d.shape() == Shape.WAVE ? 1 + d.swing() : Math.max(1, d.swing()));
        double[] routers = routerShares(d);
        List<PlannedRequest> plan = new ArrayList<>((int) (d.rate() * d.seconds() * 1.1) + 16);
        double at = 0;
        while (true) {
            at += -Math.log(1 - times.nextDouble()) / most;
            if (at >= d.seconds()) {
                return plan;
            }
            // Thinned: a Poisson process of the highest rate of which some are passed over.
            if (times.nextDouble() * most < rateAt(d, at)) {
                plan.add(new PlannedRequest(
                        plan.size(),
                        at,
                        pick(routers, rest.nextDouble()),
                        kind(kinds, rest.nextDouble()),
                        keys.next(at),
                        rest.nextInt(Math.max(1, d.tenants()))));
            }
        }
    }

    static double rateAt(Demand d, double at) {
        return switch (d.shape()) {
            case STEADY -> d.rate();
            case WAVE -> d.rate() * (1 + d.swing() * Math.sin(2 * Math.PI * at / WAVE_PERIOD));
            case BURST -> d.rate() * (at % BURST_EVERY < BURST_LASTS ? d.swing() : 1);
        };
    }

    private static double[] routerShares(Demand d) {
        double[] shares = new double[d.routers()];
        double sum = 0;
        for (int i = 0; i < shares.length; i++) {
            shares[i] = Math.pow(1 + d.skew(), shares.length - 1 - i);
            sum += shares[i];
        }
        for (int i = 0; i < shares.length; i++) {
            shares[i] /= sum;
        }
        return shares;
    }

    private static int pick(double[] shares, double chance) {
        double left = chance;
        for (int i = 0; i < shares.length - 1; i++) {
            left -= shares[i];
            if (left < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }

    private static int kind(List<RequestKind> kinds, double chance) {
        double[] shares = new double[kinds.size()];
        double sum = kinds.stream().mapToDouble(RequestKind::share).sum();
        for (int i = 0; i < shares.length; i++) {
            shares[i] = kinds.get(i).share() / sum;
        }
        return pick(shares, chance);
    }
}
