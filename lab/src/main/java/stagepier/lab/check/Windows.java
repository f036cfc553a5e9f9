package stagepier.lab.check;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The accepted calendars of a run, and what each of them forbids. */
final class Windows {
    /** A version: founding and number, in that order; what has no such form comes before all. */
    record Version(long generation, long number) implements Comparable<Version> {
        static final Version NONE = new Version(0, 0);

        static Version of(HistoryEntry told) {
            String[] words = told.text("version").split("\\.");
            try {
                return words.length == 2
                        ? new Version(Long.parseLong(words[0]), Long.parseLong(words[1]))
                        : new Version(0, Long.parseLong(words[0]));
            } catch (NumberFormatException e) {
                return NONE;
            }
        }

        @Override
        public int compareTo(Version o) {
            return Comparator.comparingLong(Version::generation)
                    .thenComparingLong(Version::number)
                    .compare(this, o);
        }
    }

    /** The first word of a version, with its windows as texts {@code START..END SCOPE}; null where nobody told them. */
    private record Accepted(HistoryEntry first, List<String> windows) {}

    private final TreeMap<Version, Accepted> versions = new TreeMap<>();

    Windows(Evidence evidence) {
        Map<Version, List<String>> windows = new HashMap<>();
        evidence.of("calendar.windows").forEach(t -> windows.putIfAbsent(Version.of(t), t.texts("windows")));
        for (HistoryEntry t : evidence.of("calendar.accepted")) {
            versions.putIfAbsent(Version.of(t), new Accepted(t, windows.get(Version.of(t))));
        }
    }

    /**
     * The word of the version that forbids a change at a moment, or null. One that was accepted within the last {@code known}
     * seconds may not be known yet, and one that is newer than that may already hold: both have to forbid it.
     */
    HistoryEntry forbids(String kind, String zone, HistoryEntry when, double known) {
        HistoryEntry forbidding = null;
        for (Accepted a : versions.descendingMap().values()) {
            if (a.first().at() > when.at() + known) {
                continue;
            }
            if (a.windows() == null || a.windows().stream().noneMatch(w -> holds(w, kind, zone, when.wall()))) {
                return null;
            }
            forbidding = a.first();
            if (a.first().at() <= when.at() - known) {
                return forbidding;
            }
        }
        return null;
    }

    /** Whether anything is known of what any version forbids. */
    boolean areKnown() {
        return versions.values().stream().anyMatch(a -> a.windows() != null);
    }

    private static boolean holds(String window, String kind, String zone, long wall) {
        String[] words = window.split(" ", 2);
        String[] ends = words[0].split("\\.\\.");
        if (words.length < 2 || ends.length < 2) {
            return false;
        }
        String scope = words[1];
        boolean concerns = scope.equals("all") || scope.equals("zone:" + zone) || scope.equals("kind:" + kind);
        return concerns && wall >= Long.parseLong(ends[0]) && (ends[1].equals("*") || wall < Long.parseLong(ends[1]));
    }
}
