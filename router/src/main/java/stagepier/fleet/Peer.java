package stagepier.fleet;

import java.util.Set;
import java.util.TreeSet;

/** What a router holds of one other. Guarded by its {@link MemberTable}; times are in nanoseconds of {@code Tasks}. */
final class Peer {
    final String name;
    long incarnation;
    FleetView.State state = FleetView.State.GONE;
    FleetView.Facts facts = FleetView.Facts.NONE;
    long factsVersion;
    /** Who found it silent, while it is suspect; a few are enough. */
    final Set<String> suspectedBy = new TreeSet<>();

    long suspectSince;
    /** When the call was sent that it answered last, whoever's call that was. */
    long heardAt;
    /** Who last told that it can call it itself. */
    Peer relay;
    /** When it went out; who is out is in again when somebody had an answer since. */
    long outSince;
    /** A higher incarnation that it is said to be alive in, of which no answer was heard of yet; 0 for none. */
    long saidAlive;
    /** From when its silence counts: it was taken up anew, or this router itself stood still. */
    long countsFrom;
    /** When this router's own last call to it was sent that was not answered. */
    long failedAt;
    /** When this router's own call to it was sent that it answered last. */
    long answeredAt;
    /** When the first call was sent of those that went unanswered without one that was answered among them. */
    long failsSince;

    long calledAt;
    long hintedAt;
    /** How often its news is still to be told on, and its facts. */
    int tell;

    int tellFacts;
    /** That it is suspect or gone, said by others against what was heard here; told on, so that it can contradict. */
    MembershipMessages.MemberUpdate claim;

    int tellClaim;

    Peer(String name, long never) {
        this.name = name;
        heardAt = never;
        countsFrom = never;
        failedAt = never;
        answeredAt = never;
        failsSince = never;
        outSince = never;
        hintedAt = never;
        suspectSince = never;
    }

    /** Since when it is silent. */
    long silentFrom() {
        return Math.max(heardAt, countsFrom);
    }

    /** This router's own last call to it went unanswered. */
    boolean failsHere() {
        return failedAt > answeredAt;
    }

    /** Alive or suspect. */
    boolean isIn() {
        return state == FleetView.State.ALIVE || state == FleetView.State.SUSPECT;
    }

    /** Whether news of it is newer (positive), as new (0) or older than what is held. */
    int compare(long newsIncarnation, FleetView.State newsState) {
        int byIncarnation = Long.compare(newsIncarnation, incarnation);
        return byIncarnation != 0 ? byIncarnation : Integer.compare(newsState.ordinal(), state.ordinal());
    }
}
