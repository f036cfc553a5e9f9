package stagepier.lab.measure;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What became of the requests, by the second of their planned time and in all. Latency counts from the planned time of
 * sending, so that a stall shows in all that had to wait for it. One thread.
 */
public final class Series {
    /** How a request ended for its user, over all its tries. */
    public enum RequestOutcome {
        IN_TIME,
        LATE,
        REFUSED,
        FAILED,
        UNANSWERED
    }

    /** One second. */
    public static final class Second {
        private final long[] fates = new long[RequestOutcome.values().length];
        private double worthAsked;
        private double worthServed;
        private long executions;
        private long fetches;
        private long held;
        private final Histogram latency = new Histogram(60_000_000, 3);

        public long of(RequestOutcome fate) {
            return fates[fate.ordinal()];
        }

        public long offered() {
            long sum = 0;
            for (long n : fates) {
                sum += n;
            }
            return sum;
        }

        /** Worth served in time over worth asked for; 1 where nothing was asked. */
        public double service() {
            return worthAsked > 0 ? worthServed / worthAsked : 1;
        }

        public long executions() {
            return executions;
        }

        public long fetches() {
            return fetches;
        }

        /** Requests that cache nodes held at the end of the second. */
        public long held() {
            return held;
        }

        /** Attempts that arrived at cache nodes for each request offered. */
        public double attempts() {
            return offered() > 0 ? (double) executions / offered() : 0;
        }

        /** Microseconds at a percentile of those served; 0 for none. */
        public long latencyAt(double percentile) {
            return latency.getTotalCount() == 0 ? 0 : latency.getValueAtPercentile(percentile);
        }
    }

    private final List<Second> seconds = new ArrayList<>();
    private final Histogram latency = new Histogram(60_000_000, 3);

    private Second at(double planned) {
        int i = Math.max(0, (int) planned);
        while (seconds.size() <= i) {
            seconds.add(new Second());
        }
        return seconds.get(i);
    }

    /** A request has ended. {@code planned}: seconds after the start; {@code took}: seconds since then. */
    public void ended(double planned, double took, double worth, RequestOutcome fate) {
        Second s = at(planned);
        s.fates[fate.ordinal()]++;
        s.worthAsked += worth;
        if (fate == RequestOutcome.IN_TIME) {
            s.worthServed += worth;
        }
        if (fate == RequestOutcome.IN_TIME || fate == RequestOutcome.LATE) {
            long micros = Math.max(1, Math.min(60_000_000, Math.round(took * 1e6)));
            s.latency.recordValue(micros);
            latency.recordValue(micros);
        }
    }

    /** An execution has arrived at a cache node at that time. */
    public void executed(double time) {
        at(time).executions++;
    }

    /** Fetches that the origin was sent in a second, and requests that nodes held at its end. */
    public void world(int second, long fetches, long held) {
        Second s = at(second);
        s.fetches = fetches;
        s.held = held;
    }

    public List<Second> seconds() {
        return seconds;
    }

    public Histogram latency() {
        return latency;
    }

    public long total(RequestOutcome fate) {
        return seconds.stream().mapToLong(s -> s.of(fate)).sum();
    }

    public long offered() {
        return seconds.stream().mapToLong(Second::offered).sum();
    }

    public long executions() {
        return seconds.stream().mapToLong(Second::executions).sum();
    }

    /** Worth served in time over worth asked for, from one second to another, the last one not included. */
    public double service(int from, int to) {
        double asked = 0;
        double served = 0;
        for (int i = Math.max(0, from); i < Math.min(to, seconds.size()); i++) {
            asked += seconds.get(i).worthAsked;
            served += seconds.get(i).worthServed;
        }
        return asked > 0 ? served / asked : 1;
    }
}
