package stagepier.freeze;

import java.util.Map;
import stagepier.fleet.Message;

/**
 * A request from one router's register to another's. All kinds share this record; fields that a kind does not use are
 * null or 0.
 *
 * @param fleet       hash of the names of the configured fleet; routers with another hash are of another fleet
 * @param name        name of the sender
 * @param incarnation incarnation of the sender
 * @param yours       the last incarnation of the receiver that the sender knows of
 * @param generation  generation of the request, or the one to be founded
 * @param after       for {@link #PULL}: the version after which a later one is requested
 * @param vector      for {@link #FOUNDED}: incarnations of all routers that took part in the first phase
 */
record RegisterRequest(
        String fleet,
        String name,
        long incarnation,
        long yours,
        long generation,
        Ballot ballot,
        Entry entry,
        Version after,
        Map<String, Long> vector) {
    static final String PART = "calendar";
    /** Requests the last version voted for and the last version known to be accepted. */
    static final String CONFIRM = "calendar.confirm";
    /** Requests the receiver's state; sent by a router that has none. */
    static final String RECOVER = "calendar.recover";
    /** First phase of a ballot: requests the promise to vote in no earlier ballot. */
    static final String PREPARE = "calendar.prepare";
    /** Second phase of a ballot: requests the vote. */
    static final String ACCEPT = "calendar.accept";
    /** Announces an accepted entry. */
    static final String LEARN = "calendar.learn";
    /** Requests a later accepted entry than the given version. */
    static final String PULL = "calendar.pull";
    /** First phase of a founding: requests the promise to vote in no earlier generation, and the receiver's state. */
    static final String FOUND = "calendar.found";
    /** Second phase of a founding: makes the receiver a member of the new generation. */
    static final String FOUNDED = "calendar.founded";

    /** @throws Message.MalformedException if a field that this kind requires is missing */
    void check(String kind, String from) throws Message.MalformedException {
        boolean needsBallot = kind.equals(PREPARE) || kind.equals(ACCEPT) || kind.equals(LEARN);
        boolean needsEntry = kind.equals(ACCEPT) || kind.equals(LEARN) || kind.equals(FOUNDED);
        boolean complete = fleet != null
                && from.equals(name)
                && incarnation > 0
                && (!needsBallot || ballot != null && ballot.name() != null)
                && (!needsEntry || entry != null && entry.version() != null && entry.done() != null)
                && (!kind.equals(PULL) || after != null)
                && (!kind.equals(FOUNDED) || vector != null);
        if (!complete) {
            throw new Message.MalformedException(kind + " from " + from + " lacks a required field");
        }
    }
}
