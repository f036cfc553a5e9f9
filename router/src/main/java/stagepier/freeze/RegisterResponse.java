package stagepier.freeze;

import java.util.Map;

/**
 * The reply of a register.
 *
 * @param ok          whether the request was carried out
 * @param incarnation incarnation of the sender
 * @param member      whether the sender has state and may vote
 * @param generation  generation of the sender's state; 0 if it has none
 * @param earlier     the last generation that the sender promised to an earlier founder; 0 for none
 * @param highest     the highest generation that the sender has seen
 * @param promised    the highest ballot that the sender promised
 * @param ballot      the ballot of the sender's last vote
 * @param voted       the version of the sender's last vote
 * @param learned     the last version that the sender knows to be accepted
 * @param wall        the sender's wall clock in milliseconds since 1970
 * @param entry       the entry of the sender's last vote, if requested
 * @param news        the last entry that the sender knows to be accepted, if requested
 * @param newsIn      the ballot in which {@code news} was accepted
 * @param file        hash of the windows in the sender's own file, for foundings
 * @param vector      the last incarnation of each router that the sender knows of; null if the kind does not need it
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
    /** Whether all required fields are present; absent ones are null. */
    boolean isComplete() {
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

    long incarnationOf(String name) {
        return vector == null ? 0 : vector.getOrDefault(name, 0L);
    }
}
