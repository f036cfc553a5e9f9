package stagepier.app;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Records the requests and disconnects of soak clients and the violations that were found. Thread-safe. */
final class SoakLedger {
    /**
     * Executions start at most 100 ms after the client disconnected; the rest allows for scheduling delays of the test.
     */
    private static final int MAX_START_AFTER_DISCONNECT_MS = 400;

    private static final String AT_MOST_ONCE = " Pc=once,";

    private final Map<String, String> sent = new ConcurrentHashMap<>();
    private final Map<String, Long> disconnectedAt = new ConcurrentHashMap<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();

    /** @param head the start of the command, which the router forwards unchanged */
    void recordSent(String id, String head) {
        sent.put(id, head);
    }

    /** Records that the client of a request has closed its connection. */
    void recordDisconnect(String id) {
        disconnectedAt.put(id, System.nanoTime());
    }

    void violation(String what) {
        violations.add(what);
    }

    List<String> violations() {
        return violations;
    }

    /** Checks all commands that the cache servers received. */
    void checkForwarded(List<StandInCache> caches) {
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        for (StandInCache cache : caches) {
            for (StandInCache.Received command : cache.commands()) {
                checkForwarded(command);
                if (command.line().contains(AT_MOST_ONCE)) {
                    runs.merge(id(command), 1, Integer::sum);
                }
            }
        }
        runs.forEach((id, count) -> {
            if (count > 1) {
                violations.add("duplicate: " + id + " ran " + count + " times");
            }
        });
    }

    private static String id(StandInCache.Received command) {
        return command.line().replaceAll(".* O(\\S+) P.*", "$1");
    }

    private void checkForwarded(StandInCache.Received command) {
        String id = id(command);
        if (!command.line().startsWith(sent.getOrDefault(id, "unknown") + " P")) {
            violations.add("not sent by any client: " + command.line());
        }
        Long disconnected = disconnectedAt.get(id);
        if (disconnected != null) {
            long after = TimeUnit.NANOSECONDS.toMillis(command.atNanos() - disconnected);
            if (after > MAX_START_AFTER_DISCONNECT_MS) {
                violations.add("lost: " + command.line() + " came " + after + " ms after its client disconnected");
            }
        }
    }
}
