package stagepier.shadow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The counts of all routers that are known, one entry for each process: a state-based, grow-only counter (Shapiro, Preguiça,
 * Baquero and Zawirski, <i>Conflict-free replicated data types</i>, 2011). Each entry has one writer and a sequence, and of two
 * the higher sequence stays, so that what is received twice, late, or from somebody else changes nothing. Not shared between tasks.
 */
final class MergedCounts {
    /** Processes of one router that are remembered. Guards against memory that grows with every restart. */
    static final int PROCESSES_MOST = 16;

    private final SortedMap<String, TreeMap<Long, RouterCounts>> entries = new TreeMap<>();
    private int turn;

    /** Takes counts of another router, or newer ones of this; returns whether it was new. */
    boolean take(RouterCounts counts) {
        TreeMap<Long, RouterCounts> own = entries.computeIfAbsent(counts.router(), r -> new TreeMap<>());
        RouterCounts had = own.get(counts.incarnation());
        if (had != null && had.sequence() >= counts.sequence()) {
            return false;
        }
        if (had == null && own.size() >= PROCESSES_MOST) {
            if (counts.incarnation() < own.firstKey()) {
                return false;
            }
            own.pollFirstEntry();
        }
        own.put(counts.incarnation(), counts);
        return true;
    }

    void clear() {
        entries.clear();
    }

    Collection<RouterCounts> all() {
        List<RouterCounts> all = new ArrayList<>();
        entries.values().forEach(own -> all.addAll(own.values()));
        return all;
    }

    /** Highest sequence of each process: what there is no need to be told again. */
    Map<String, Map<Long, Long>> known() {
        Map<String, Map<Long, Long>> known = new TreeMap<>();
        entries.forEach((router, own) -> {
            Map<Long, Long> sequences = new TreeMap<>();
            own.forEach((incarnation, e) -> sequences.put(incarnation, e.sequence()));
            known.put(router, sequences);
        });
        return known;
    }

    /** Entries that somebody lacks, as far as they fit. Each time from another one on: the first ones change all the time. */
    List<RouterCounts> lackedBy(Map<String, Map<Long, Long>> known, int lengthMost) {
        List<RouterCounts> lacked = new ArrayList<>();
        List<RouterCounts> all = new ArrayList<>(all());
        Collections.rotate(all, -(all.isEmpty() ? 0 : turn++ % all.size()));
        int length = 0;
        for (RouterCounts e : all) {
            Long has = known.getOrDefault(e.router(), Map.of()).get(e.incarnation());
            if ((has == null || has < e.sequence()) && length + e.length() <= lengthMost) {
                lacked.add(e);
                length += e.length();
            }
        }
        return lacked;
    }

    long sum(String counter) {
        return all().stream().mapToLong(e -> e.counter(counter)).sum();
    }

    SortedMap<String, Long> sums() {
        Map<String, Long> sums = new HashMap<>();
        all().forEach(e -> e.counters().forEach((name, n) -> sums.merge(name, n, Long::sum)));
        return new TreeMap<>(sums);
    }

    /** Routers that have counted at least one comparison. */
    long routersWith(String counter) {
        return entries.values().stream()
                .filter(own -> own.values().stream().anyMatch(e -> e.counter(counter) > 0))
                .count();
    }
}
