package stagepier.freeze;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A calendar with its position in the sequence of accepted calendars.
 *
 * @param text the windows in canonical form; null if the fleet was founded again and an accepted calendar may have been
 *             lost
 * @param done the last proposal of each router that this or an earlier entry contains, so that no proposal is applied
 *             twice
 */
record Entry(Version version, String text, SortedMap<String, String> done) {
    /** The entry of a process without state: no calendar is accepted. */
    static final Entry NONE = new Entry(Version.NONE, null, Collections.emptySortedMap());

    boolean contains(String proposer, String proposal) {
        return proposal.equals(done.get(proposer));
    }

    Entry next(String newText, String proposer, String proposal) {
        SortedMap<String, String> all = new TreeMap<>(done);
        all.put(proposer, proposal);
        return new Entry(version.next(), newText, all);
    }

    /** Returns the first entry of a generation. */
    static Entry founded(long generation, String text, Map<String, String> done) {
        return new Entry(new Version(generation, text == null ? 0 : 1), text, new TreeMap<>(done));
    }
}
