package stagepier.lab.capacity;

/** The values of one size over its seeds. With a handful of seeds the spread is told by the lowest and the highest. */
public record SizeStatistics(int routers, int seeds, double median, double lowest, double highest) {}
