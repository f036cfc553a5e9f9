package stagepier.freeze;

import java.util.Map;

/**
 * What a register answers.
 *
 * @param ok          it did what was asked
 * @param incarnation of who answers
 * @param member      it has a memory and may vote
 * @param generation  of what it holds; 0 where it holds nothing
 * @param earlier     the last generation that it promised to an earlier founder; 0 for none
 * @param highest     the last generation that it heard of in any way
 * @param promised    the highest ballot that it promised
 * @param ballot      in which it voted last
 * @param voted       for which version
 * @param learned     the last version that it knows to be accepted
 * @param wall        its wall clock in milliseconds since 1970
 * @param entry       what it voted for, where that was asked
 * @param news        what it knows to be accepted, where that was asked
 * @param newsIn      the ballot in which that was accepted
 * @param file        hash of its own file of windows, for a founding
 * @param vector      the last incarnation of each router that it knows of; null in what needs none
 */
record RegisterResponse(
        boolean ok,
        long incarnation,
        boolean member,
        long generation,
        long earlier,
        long highest,
        Ballot promised,
        Ballot ballot,
        Version voted,
        Version learned,
        long wall,
        Entry entry,
        Entry news,
        Ballot newsIn,
        String file,
        Map<String, Long> vector) {
    /** Whether it may be used at all: fields that are absent are null. */
    boolean whole() {
        return incarnation > 0
                && promised != null
                && promised.name() != null
                && ballot != null
                && ballot.name() != null
                && voted != null
                && learned != null
                && (entry == null || entry.version() != null && entry.done() != null)
                && (news == null
                        || news.version() != null && news.done() != null && newsIn != null && newsIn.name() != null);
    }

    long known(String name) {
        return vector == null ? 0 : vector.getOrDefault(name, 0L);
    }
}
