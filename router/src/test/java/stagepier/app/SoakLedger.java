package stagepier.app;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** What the clients of a soak sent and left, and which rules were broken. For many threads. */
final class SoakLedger {
    /** An attempt begins no later than 100 ms after its client left; the rest is for the threads of the test. */
    private static final int BEGINS_AFTER_LEAVING_MOST_MS = 400;

    private static final String ONCE = " Pc=once,";

    private final Map<String, String> sent = new ConcurrentHashMap<>();
    private final Map<String, Long> leftAt = new ConcurrentHashMap<>();
    private final List<String> broken = new CopyOnWriteArrayList<>();

    /** @param head the words of a command that are passed on as they are */
    void sent(String id, String head) {
        sent.put(id, head);
    }

    /** The client of a request has closed its connection. */
    void left(String id) {
        leftAt.put(id, System.nanoTime());
    }

    void broken(String what) {
        broken.add(what);
    }

    List<String> broken() {
        return broken;
    }

    /** Looks through all that came to cache servers. */
    void checkForwarded(List<StandInCache> caches) {
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        for (StandInCache cache : caches) {
            for (StandInCache.Received command : cache.commands()) {
                checkForwarded(command);
                if (command.line().contains(ONCE)) {
                    runs.merge(id(command), 1, Integer::sum);
                }
            }
        }
        runs.forEach((id, count) -> {
            if (count > 1) {
                broken.add("duplicate: " + id + " ran " + count + " times");
            }
        });
    }

    private static String id(StandInCache.Received command) {
        return command.line().replaceAll(".* O(\\S+) P.*", "$1");
    }

    private void checkForwarded(StandInCache.Received command) {
        String id = id(command);
        if (!command.line().startsWith(sent.getOrDefault(id, "nobody") + " P")) {
            broken.add("nobody sent " + command.line());
        }
        Long left = leftAt.get(id);
        if (left != null) {
            long after = TimeUnit.NANOSECONDS.toMillis(command.atNanos() - left);
            if (after > BEGINS_AFTER_LEAVING_MOST_MS) {
                broken.add("lost: " + command.line() + " came " + after + " ms after its client left");
            }
        }
    }
}
