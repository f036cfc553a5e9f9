package stagepier.lab.capacity;

/** One value of a series: measured at one size of the fleet with one seed. */
public record Observation(int routers, long seed, double value) {}
