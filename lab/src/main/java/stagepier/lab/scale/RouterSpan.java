package stagepier.lab.scale;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import stagepier.lab.traffic.HttpTraffic;
import stagepier.lab.traffic.TcpBytes;

/**
 * One router process over a measured span.
 *
 * @param readings in the order of time, two or more
 */
record RouterSpan(List<RouterReading> readings) {
    /** A process that has heard less than this part of what it was sent lost the rest: it had no time left. */
    private static final double HEARD_LEAST = 0.95;

    /**
     * A router decides on one thread; at this part of a core that has no time left, and the figure says nothing of
     * the cost.
     */
    private static final double PROCESSOR_MOST = 0.9;

    RouterSpan {
        readings = List.copyOf(readings);
    }

    private RouterReading first() {
        return readings.get(0);
    }

    private RouterReading last() {
        return readings.get(readings.size() - 1);
    }

    private double seconds() {
        return last().at() - first().at();
    }

    private ReportTraffic reportTraffic() {
        return last().reports().since(first().reports());
    }

    double processor() {
        return (last().use().processorSeconds() - first().use().processorSeconds()) / seconds();
    }

    /** Part of the reports that were sent to it that it has heard; NaN where it did not say. */
    double heardPart() {
        if (first().heard() == RouterReading.NOT_TOLD || last().heard() == RouterReading.NOT_TOLD) {
            return Double.NaN;
        }
        return (double) (last().heard() - first().heard()) / reportTraffic().messagesIn();
    }

    /** Whether it could not take up what it was sent; its processor time and what it sends are then too small. */
    boolean isOverloaded() {
        return !(heardPart() >= HEARD_LEAST) || processor() >= PROCESSOR_MOST;
    }

    Map<Figure, Double> reports() {
        ReportTraffic traffic = reportTraffic();
        Map<Figure, Double> figures = new EnumMap<>(Figure.class);
        figures.put(Figure.BYTES_IN, traffic.bytesIn() / seconds());
        figures.put(Figure.MESSAGES_IN, traffic.messagesIn() / seconds());
        figures.put(Figure.BYTES_OUT, traffic.bytesOut() / seconds());
        figures.put(Figure.MESSAGES_OUT, traffic.messagesOut() / seconds());
        return figures;
    }

    Map<Figure, Double> discovery() {
        HttpTraffic traffic = last().discovery().since(first().discovery());
        Map<Figure, Double> figures = new EnumMap<>(Figure.class);
        figures.put(Figure.BYTES_IN, TcpBytes.toRouters(traffic) / seconds());
        figures.put(Figure.MESSAGES_IN, (traffic.answers() + traffic.refusals()) / seconds());
        figures.put(Figure.BYTES_OUT, TcpBytes.toService(traffic) / seconds());
        figures.put(Figure.MESSAGES_OUT, traffic.requests() / seconds());
        return figures;
    }

    Map<Figure, Double> process() {
        Map<Figure, Double> figures = new EnumMap<>(Figure.class);
        figures.put(Figure.PROCESSOR, processor());
        heapLeast().ifPresent(bytes -> figures.put(Figure.HEAP, (double) bytes));
        figures.put(Figure.RESIDENT, (double) last().use().residentBytes());
        figures.put(Figure.THREADS, (double) last().use().threads());
        figures.put(Figure.DESCRIPTORS, (double) last().use().descriptors());
        return figures;
    }

    private OptionalLong heapLeast() {
        return readings.stream()
                .mapToLong(RouterReading::heap)
                .filter(bytes -> bytes != RouterReading.NOT_TOLD)
                .min();
    }
}
