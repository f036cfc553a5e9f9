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
 * The counts of all known routers, with one entry per process: a state-based, grow-only counter (Shapiro, Preguiça,
 * Baquero and Zawirski, <i>Conflict-free replicated data types</i>, 2011). Each entry has one writer and a sequence
 * number, and the entry with the higher sequence number is kept, so that duplicate, late or forwarded entries change
 * nothing. Not shared between tasks.
 */
final class MergedCounts {
    /**
     * Number of processes that are kept per router; limits the memory, which would otherwise grow with every restart.
     */
    static final int MAX_PROCESSES_PER_ROUTER = 16;

    private final SortedMap<String, TreeMap<Long, RouterCounts>> entries = new TreeMap<>();
    private int rotation;

    /** Merges counts of another router or newer counts of this one; returns whether they were new. */
    boolean merge(RouterCounts counts) {
        TreeMap<Long, RouterCounts> own = entries.computeIfAbsent(counts.router(), r -> new TreeMap<>());
        RouterCounts existing = own.get(counts.incarnation());
        if (existing != null && existing.sequence() >= counts.sequence()) {
            return false;
        }
        if (existing == null && own.size() >= MAX_PROCESSES_PER_ROUTER) {
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

    /**
     * Returns the highest known sequence number of each process, by router and incarnation. Peers need not send these
     * again.
     */
    Map<String, Map<Long, Long>> known() {
        Map<String, Map<Long, Long>> known = new TreeMap<>();
        entries.forEach((router, own) -> {
            Map<Long, Long> sequences = new TreeMap<>();
            own.forEach((incarnation, e) -> sequences.put(incarnation, e.sequence()));
            known.put(router, sequences);
        });
        return known;
    }

    /**
     * Returns the entries that a peer is missing, as far as they fit into the length. Each call starts at the next
     * entry: the first entries change all the time and would otherwise keep out the later ones.
     */
    List<RouterCounts> missingFrom(Map<String, Map<Long, Long>> known, int maxLength) {
        List<RouterCounts> missing = new ArrayList<>();
        List<RouterCounts> all = new ArrayList<>(all());
        Collections.rotate(all, -(all.isEmpty() ? 0 : rotation++ % all.size()));
        int length = 0;
        for (RouterCounts e : all) {
            Long knownSequence = known.getOrDefault(e.router(), Map.of()).get(e.incarnation());
            if ((knownSequence == null || knownSequence < e.sequence()) && length + e.length() <= maxLength) {
                missing.add(e);
                length += e.length();
            }
        }
        return missing;
    }

    long sum(String counter) {
        return all().stream().mapToLong(e -> e.counter(counter)).sum();
    }

    SortedMap<String, Long> sums() {
        Map<String, Long> sums = new HashMap<>();
        all().forEach(e -> e.counters().forEach((name, n) -> sums.merge(name, n, Long::sum)));
        return new TreeMap<>(sums);
    }

    /** Returns the number of routers whose counter is above 0. */
    long routersWith(String counter) {
        return entries.values().stream()
                .filter(own -> own.values().stream().anyMatch(e -> e.counter(counter) > 0))
                .count();
    }
}
