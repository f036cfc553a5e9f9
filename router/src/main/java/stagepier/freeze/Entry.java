package stagepier.freeze;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A calendar with its place in the sequence.
 *
 * @param text the windows, canonical; null where the fleet was founded and something accepted may have been lost
 * @param done the last proposal of each router that is in this or an earlier one: so none is ordered twice
 */
record Entry(Version version, String text, SortedMap<String, String> done) {
    /** Nothing is accepted: a process without a memory. */
    static final Entry NONE = new Entry(Version.NONE, null, Collections.emptySortedMap());

    boolean holds(String proposer, String proposal) {
        return proposal.equals(done.get(proposer));
    }

    Entry next(String newText, String proposer, String proposal) {
        SortedMap<String, String> all = new TreeMap<>(done);
        all.put(proposer, proposal);
        return new Entry(version.next(), newText, all);
    }

    /** What a founding begins with. */
    static Entry founded(long generation, String text, Map<String, String> done) {
        return new Entry(new Version(generation, text == null ? 0 : 1), text, new TreeMap<>(done));
    }
}
