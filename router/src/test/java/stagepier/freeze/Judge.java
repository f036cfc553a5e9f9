package stagepier.freeze;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Says which promise a history of a {@link VirtualFleet} breaks. Trusts the history of votes and nothing of the product. */
final class Judge {
    private final VirtualFleet fleet;
    private final List<String> breaches = new ArrayList<>();

    private Judge(VirtualFleet fleet) {
        this.fleet = fleet;
    }

    static List<String> breaches(VirtualFleet fleet) {
        Judge judge = new Judge(fleet);
        judge.oneSequence();
        judge.learnedInOrder();
        judge.confirmedIsLatest();
        judge.nothingInsideAWindow();
        judge.foundedOnWhatWasAccepted();
        return judge.breaches;
    }

    private List<VirtualFleet.Event> events(String what) {
        return fleet.events.stream().filter(e -> e.what().equals(what)).toList();
    }

    /** P5: a version is one calendar, whoever counted its votes or heard of it. */
    private void oneSequence() {
        Map<Version, String> hashes = new HashMap<>();
        for (VirtualFleet.Event e : fleet.events) {
            if (e.what().equals("calendar.accepted") || e.what().equals("calendar.learned")) {
                String before = hashes.putIfAbsent(e.version(), e.text("hash"));
                if (before != null && !before.equals(e.text("hash"))) {
                    breaches.add("P5: " + e.version() + " is " + before + " and at " + e.at() + " in " + e.router()
                            + " " + e.text("hash"));
                }
            }
        }
    }

    /** P5: no process goes back. */
    private void learnedInOrder() {
        Map<String, Version> last = new HashMap<>();
        for (VirtualFleet.Event e : events("calendar.learned")) {
            Version before = last.put(e.router() + "/" + e.life(), e.version());
            if (before != null && before.compareTo(e.version()) >= 0) {
                breaches.add("P5: " + e.router() + " learned " + e.version() + " after " + before);
            }
        }
    }

    /** P5: who confirms at a time knows all that was accepted before. */
    private void confirmedIsLatest() {
        TreeMap<Double, Version> latest = latest();
        for (VirtualFleet.Event e : events("calendar.lease")) {
            double start = ((Long) e.values().get("start") - 1_000_000_000L) / 1e9;
            Map.Entry<Double, Version> before = latest.lowerEntry(start);
            if (before != null && before.getValue().compareTo(e.version()) > 0) {
                breaches.add("P5: " + e.router() + " confirmed " + e.version() + " at " + start + ", but "
                        + before.getValue() + " was accepted at " + before.getKey());
            }
        }
    }

    /** The highest accepted version by the time of its acceptance. */
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
     * P6: a founding begins with what was accepted last, or voted for since; with nothing; or with what all files say, where what was
     * accepted last stands in no file any more.
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
                    breaches.add("P6: " + e.version() + " begins with " + e.text("hash") + " in place of " + before
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

    /** P6: open is said only by what was accepted last before the lease, or by what was voted for since. */
    private void nothingInsideAWindow() {
        TreeMap<Double, Version> latest = latest();
        Map<Version, String> hashes = new HashMap<>();
        Map<Version, Double> firstVote = new HashMap<>();
        List<VirtualFleet.Event> votes = events("calendar.vote");
        votes.forEach(e -> firstVote.putIfAbsent(e.version(), e.at()));
        events("calendar.accepted").forEach(e -> hashes.put(e.version(), e.text("hash")));
        for (VirtualFleet.Asked a : fleet.asked) {
            if (a.permit() != Calendar.Permit.OPEN) {
                continue;
            }
            double since = a.at() - fleet.lease.toNanos() / 1e9;
            Optional<Version> last =
                    Optional.ofNullable(latest.floorEntry(since)).map(Map.Entry::getValue);
            boolean allowed = last.isEmpty() && isOpen(hashes, null, a)
                    || last.isPresent() && isOpen(hashes, last.get(), a)
                    || hashes.keySet().stream()
                            .anyMatch(v -> (last.isEmpty() || v.compareTo(last.get()) > 0)
                                    && firstVote.getOrDefault(v, 1e9) <= a.at()
                                    && isOpen(hashes, v, a));
            if (!allowed) {
                breaches.add("P6: " + a.router() + " was open at " + a.at() + " though " + last.orElse(null)
                        + " forbids it");
                return;
            }
        }
    }

    private boolean isOpen(Map<Version, String> hashes, Version version, VirtualFleet.Asked a) {
        if (version == null || hashes.get(version).isEmpty()) {
            return false;
        }
        return fleet.texts
                .get(hashes.get(version))
                .spans(a.trueTime(), a.trueTime().plusMillis(1))
                .isEmpty();
    }
}
