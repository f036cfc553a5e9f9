package stagepier.lab.capacity;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;

/** All values of one subject, over sizes and seeds; there is at least one. */
public record FigureSeries(Subject subject, List<Observation> observations) {
    public FigureSeries {
        if (observations.isEmpty()) {
            throw new IllegalArgumentException(subject + ": no values");
        }
        observations = List.copyOf(observations);
    }

    /** Median and spread by size, the smallest size first. */
    public List<SizeStatistics> bySize() {
        Map<Integer, List<Observation>> grouped = observations.stream()
                .collect(Collectors.groupingBy(Observation::routers, TreeMap::new, Collectors.toList()));
        return grouped.entrySet().stream()
                .map(e -> statistics(e.getKey(), e.getValue()))
                .toList();
    }

    public Optional<SizeStatistics> at(int routers) {
        return bySize().stream().filter(size -> size.routers() == routers).findFirst();
    }

    public List<Integer> sizes() {
        return bySize().stream().map(SizeStatistics::routers).toList();
    }

    private static SizeStatistics statistics(int routers, List<Observation> of) {
        DescriptiveStatistics values = new DescriptiveStatistics();
        of.forEach(o -> values.addValue(o.value()));
        return new SizeStatistics(routers, of.size(), values.getPercentile(50), values.getMin(), values.getMax());
    }
}
