package stagepier.freeze;

import java.util.Map;
import stagepier.fleet.Message;

/**
 * What one router's register asks of another's. One form for all kinds; what a kind does not need is null or 0.
 *
 * @param fleet       hash of the names of the configured fleet: another one is another fleet
 * @param name        who asks
 * @param incarnation of who asks
 * @param yours       the last incarnation of the asked one that the asker knows of
 * @param generation  in which it is asked, or which is to be founded
 * @param after       for {@link #PULL}: a later one than this is wanted
 * @param vector      for {@link #FOUNDED}: incarnations of all that founded
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
    /** Which version have you voted for last, and which do you know to be accepted? */
    static final String CONFIRM = "calendar.confirm";
    /** I have forgotten all: tell me what you hold. */
    static final String RECOVER = "calendar.recover";
    /** First phase: promise to vote in no earlier ballot. */
    static final String PREPARE = "calendar.prepare";
    /** Second phase: vote. */
    static final String ACCEPT = "calendar.accept";
    /** This was accepted. */
    static final String LEARN = "calendar.learn";
    /** What do you know to be accepted after this? */
    static final String PULL = "calendar.pull";
    /** First phase of a founding, by all: vote no more in any earlier generation, and tell what you hold. */
    static final String FOUND = "calendar.found";
    /** Second phase of a founding: from here on you have a memory again. */
    static final String FOUNDED = "calendar.founded";

    /** @throws Message.MalformedException where what this kind needs is not there */
    void check(String kind, String from) throws Message.MalformedException {
        boolean needsBallot = kind.equals(PREPARE) || kind.equals(ACCEPT) || kind.equals(LEARN);
        boolean needsEntry = kind.equals(ACCEPT) || kind.equals(LEARN) || kind.equals(FOUNDED);
        boolean whole = fleet != null
                && from.equals(name)
                && incarnation > 0
                && (!needsBallot || ballot != null && ballot.name() != null)
                && (!needsEntry || entry != null && entry.version() != null && entry.done() != null)
                && (!kind.equals(PULL) || after != null)
                && (!kind.equals(FOUNDED) || vector != null);
        if (!whole) {
            throw new Message.MalformedException(kind + " of " + from + " lacks what it needs");
        }
    }
}
