package stagepier.lab.scale;

/**
 * What one router did under one load.
 *
 * @param asked      requests a second
 * @param valueBytes of each answer
 * @param answered   requests a second that were answered with a value
 * @param processor  that it took, as a part of one core
 * @param loadKept   whether the load was sent as planned; where it was not, the laboratory was what ended first
 */
public record ThroughputPoint(double asked, int valueBytes, double answered, double processor, boolean loadKept) {
    private static final double MICROSECONDS = 1e6;

    /** Bytes of values a second. */
    public double valueBytesAnswered() {
        return answered * valueBytes;
    }

    /** Processor time of one answer, in microseconds. */
    public double microsecondsEach() {
        return processor / answered * MICROSECONDS;
    }
}
