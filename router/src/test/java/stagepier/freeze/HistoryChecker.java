package stagepier.freeze;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Finds the guarantees that a history of a {@link VirtualFleet} violates. Relies only on the recorded events, not on
 * state of the product.
 */
final class HistoryChecker {
    private final VirtualFleet fleet;
    private final List<String> violations = new ArrayList<>();

    private HistoryChecker(VirtualFleet fleet) {
        this.fleet = fleet;
    }

    static List<String> violations(VirtualFleet fleet) {
        HistoryChecker checker = new HistoryChecker(fleet);
        checker.oneSequence();
        checker.learnedInOrder();
        checker.confirmedIsLatest();
        checker.nothingInsideAWindow();
        checker.foundedOnWhatWasAccepted();
        return checker.violations;
    }

    private List<VirtualFleet.Event> events(String what) {
        return fleet.events.stream().filter(e -> e.what().equals(what)).toList();
    }

    /** P5: a version stands for one calendar on all routers that accepted or learned it. */
    private void oneSequence() {
        Map<Version, String> hashes = new HashMap<>();
        for (VirtualFleet.Event e : fleet.events) {
            if (e.what().equals("calendar.accepted") || e.what().equals("calendar.learned")) {
                String before = hashes.putIfAbsent(e.version(), e.text("hash"));
                if (before != null && !before.equals(e.text("hash"))) {
                    violations.add("P5: " + e.version() + " is " + before + " and at " + e.at() + " in " + e.router()
                            + " " + e.text("hash"));
                }
            }
        }
    }

    /** P5: each process learns versions in increasing order. */
    private void learnedInOrder() {
        Map<String, Version> last = new HashMap<>();
        for (VirtualFleet.Event e : events("calendar.learned")) {
            Version before = last.put(e.router() + "/" + e.process(), e.version());
            if (before != null && before.compareTo(e.version()) >= 0) {
                violations.add("P5: " + e.router() + " learned " + e.version() + " after " + before);
            }
        }
    }

    /** P5: a confirmation covers every calendar accepted before its start. */
    private void confirmedIsLatest() {
        TreeMap<Double, Version> latest = latest();
        for (VirtualFleet.Event e : events("calendar.lease")) {
            double start = ((Long) e.values().get("start") - 1_000_000_000L) / 1e9;
            Map.Entry<Double, Version> before = latest.lowerEntry(start);
            if (before != null && before.getValue().compareTo(e.version()) > 0) {
                violations.add("P5: " + e.router() + " confirmed " + e.version() + " at " + start + ", but "
                        + before.getValue() + " was accepted at " + before.getKey());
            }
        }
    }

    /** Returns the highest accepted version by time of acceptance. */
    private TreeMap<Double, Version> latest() {
        TreeMap<Double, Version> latest = new TreeMap<>();
        for (VirtualFleet.Event e : events("calendar.accepted")) {
            if (latest.isEmpty() || latest.lastEntry().getValue().compareTo(e.version()) < 0) {
                latest.put(e.at(), e.version());
            }
        }
        return latest;
    }

    /**
     * P6: a generation begins with the calendar that was accepted last, with one voted for since, with none, or with
     * the one in all files if no file contains the calendar accepted last any more.
     */
    private void foundedOnWhatWasAccepted() {
        Map<Version, String> hashes = new HashMap<>();
        Version last = null;
        for (VirtualFleet.Event e : fleet.events) {
            boolean begins = e.what().equals("calendar.accepted")
                    && e.version().number() <= 1
                    && last != null
                    && last.generation() < e.version().generation()
                    && !e.text("hash").isEmpty();
            if (begins) {
                Version before = last;
                boolean survived = hashes.entrySet().stream()
                        .anyMatch(h -> h.getKey().compareTo(before) >= 0
                                && h.getValue().contains(e.text("hash")));
                String lost = hashes.get(before);
                boolean replaced = fleet.files.headMap(e.at(), true).tailMap(e.at() - 5).values().stream()
                        .anyMatch(f -> !f.contains(lost));
                if (!survived && !replaced) {
                    violations.add("P6: " + e.version() + " begins with " + e.text("hash") + " in place of " + before
                            + " " + lost);
                }
            }
            if (e.what().equals("calendar.vote") && !e.text("hash").isEmpty()) {
                hashes.merge(e.version(), e.text("hash"), (a, b) -> a.equals(b) ? a : a + " " + b);
            }
            if (e.what().equals("calendar.accepted")
                    && (last == null || e.version().compareTo(last) > 0)) {
                last = e.version();
                hashes.put(last, e.text("hash"));
            }
        }
    }

    /** P6: a router is open only by the calendar accepted last before the lease, or by one voted for since. */
    private void nothingInsideAWindow() {
        TreeMap<Double, Version> latest = latest();
        Map<Version, String> hashes = new HashMap<>();
        Map<Version, Double> firstVote = new HashMap<>();
        List<VirtualFleet.Event> votes = events("calendar.vote");
        votes.forEach(e -> firstVote.putIfAbsent(e.version(), e.at()));
        events("calendar.accepted").forEach(e -> hashes.put(e.version(), e.text("hash")));
        for (VirtualFleet.Query query : fleet.queries) {
            if (query.permit() != Calendar.Permit.OPEN) {
                continue;
            }
            double since = query.at() - fleet.lease.toNanos() / 1e9;
            Optional<Version> last =
                    Optional.ofNullable(latest.floorEntry(since)).map(Map.Entry::getValue);
            boolean allowed = last.isEmpty() && isOpen(hashes, null, query)
                    || last.isPresent() && isOpen(hashes, last.get(), query)
                    || hashes.keySet().stream()
                            .anyMatch(v -> (last.isEmpty() || v.compareTo(last.get()) > 0)
                                    && firstVote.getOrDefault(v, 1e9) <= query.at()
                                    && isOpen(hashes, v, query));
            if (!allowed) {
                violations.add("P6: " + query.router() + " was open at " + query.at() + " though " + last.orElse(null)
                        + " forbids it");
                return;
            }
        }
    }

    private boolean isOpen(Map<Version, String> hashes, Version version, VirtualFleet.Query query) {
        if (version == null || hashes.get(version).isEmpty()) {
            return false;
        }
        return fleet.windowsByHash
                .get(hashes.get(version))
                .spans(query.trueTime(), query.trueTime().plusMillis(1))
                .isEmpty();
    }
}
