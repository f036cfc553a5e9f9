package stagepier.fleet;

import java.util.Set;
import java.util.TreeSet;

/** The state of one member. Guarded by its {@link MemberTable}; times are in nanoseconds of {@code Tasks}. */
final class Peer {
    final String name;
    long incarnation;
    FleetView.State state = FleetView.State.GONE;
    FleetView.Facts facts = FleetView.Facts.NONE;
    long factsVersion;
    /** Routers that suspect the member while it is suspect; only a limited number is kept. */
    final Set<String> suspectedBy = new TreeSet<>();

    long suspectSince;
    /** Last contact: time at which this or another router sent the call that the member answered last. */
    long lastContactAt;
    /** The member that last reported that it can call this member directly. */
    Peer relay;
    /** Time at which the member became gone or left; it is active again once a router has had an answer since. */
    long inactiveSince;
    /** Higher incarnation that is reported alive, but from which no answer is known yet; 0 for none. */
    long unconfirmedIncarnation;
    /** Earliest time from which silence counts: the member has a new incarnation, or this router has stalled. */
    long silenceCountsFrom;
    /** Time at which this router sent its last call to the member that was not answered. */
    long failedAt;
    /** Time at which this router sent the call that the member answered last. */
    long answeredAt;
    /** Time at which the first of the current run of unanswered calls was sent. */
    long unresponsiveSince;

    long probedAt;
    long prioritizedAt;
    /** Number of times that the state of the member remains to be sent. */
    int sendsLeft;

    /** Number of times that its facts remain to be sent. */
    int factsSendsLeft;
    /**
     * Update of another router that the member is suspect or gone, which this router disputes. It is forwarded so that
     * the member can refute it.
     */
    MembershipMessages.MemberUpdate claim;

    /** Number of times that the disputed update remains to be sent. */
    int claimSendsLeft;

    Peer(String name, long distantPast) {
        this.name = name;
        lastContactAt = distantPast;
        silenceCountsFrom = distantPast;
        failedAt = distantPast;
        answeredAt = distantPast;
        unresponsiveSince = distantPast;
        inactiveSince = distantPast;
        prioritizedAt = distantPast;
        suspectSince = distantPast;
    }

    /** Returns the time from which the silence of the member counts. */
    long silentSince() {
        return Math.max(lastContactAt, silenceCountsFrom);
    }

    /** Returns whether this router's own last call to the member was not answered. */
    boolean isUnresponsive() {
        return failedAt > answeredAt;
    }

    /** Returns whether the member is alive or suspect. */
    boolean isActive() {
        return state == FleetView.State.ALIVE || state == FleetView.State.SUSPECT;
    }

    /** Compares an update with the current state: positive if the update is newer, 0 if equal, negative if older. */
    int compare(long otherIncarnation, FleetView.State otherState) {
        int byIncarnation = Long.compare(otherIncarnation, incarnation);
        return byIncarnation != 0 ? byIncarnation : Integer.compare(otherState.ordinal(), state.ordinal());
    }
}
