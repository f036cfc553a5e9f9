package stagepier.lab.model;

/**
 * A class of requests.
 *
 * @param share       part of all requests
 * @param aim         seconds within which an answer earns its worth
 * @param deadline    seconds after which the client gives up
 * @param workLeast   core seconds that one costs at least, on a core of speed 1
 * @param workMost    the same at the most
 * @param repeat      what a repeat may do
 * @param dedupWindow seconds for which all cache nodes drop a repeat, for keyed ones
 * @param write       whether it changes its key
 */
public record RequestKind(
        String name,
        double share,
        double aim,
        double deadline,
        double worth,
        double workLeast,
        double workMost,
        Repeat repeat,
        double dedupWindow,
        boolean write) {
    /** What a repeat of a request may do. */
    public enum Repeat {
        SAFE,
        KEYED,
        UNSAFE
    }
}
