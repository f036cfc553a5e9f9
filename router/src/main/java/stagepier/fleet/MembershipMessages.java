package stagepier.fleet;

import com.google.gson.annotations.SerializedName;
import java.util.List;
import java.util.Map;

/**
 * Messages of the membership protocol. Routers exchange them some ten times a second, so most fields have a name of one letter on
 * the wire.
 */
final class MembershipMessages {
    static final String PING = "view.ping";
    static final String PONG = "view.pong";
    static final String AGE_REQUEST = "view.ask";
    static final String AGE_RESPONSE = "view.told";
    static final String SYNC = "view.sync";
    static final String SYNC_RESPONSE = "view.synced";

    private MembershipMessages() {}

    /**
     * What a router holds of one member.
     *
     * @param member       name of the member
     * @param incarnation  incarnation of the member
     * @param state        ordinal of its {@link FleetView.State}
     * @param suspectedBy  routers that found it silent, where it is suspect; null or empty otherwise
     * @param factsVersion version of its facts
     * @param facts        its facts, or null where only their version is sent
     */
    record MemberUpdate(
            @SerializedName("n") String member,
            @SerializedName("i") long incarnation,
            @SerializedName("s") int state,
            @SerializedName("by") List<String> suspectedBy,
            @SerializedName("v") long factsVersion,
            @SerializedName("f") FleetView.Facts facts) {}

    /**
     * A probe of another member.
     *
     * @param incarnation     incarnation of the caller
     * @param heldIncarnation incarnation that the caller holds of the member that it calls
     * @param about           what the caller holds of that member, where it is not that it is alive: the member may refute it
     * @param unreachable     members that are in, but do not answer the caller; null for none
     * @param news            recent changes; null for none
     */
    record Ping(
            @SerializedName("i") long incarnation,
            @SerializedName("held") long heldIncarnation,
            MemberUpdate about,
            @SerializedName("lost") List<String> unreachable,
            List<MemberUpdate> news) {}

    /**
     * The response to a probe.
     *
     * @param incarnation incarnation of the member that answers
     * @param about       what it holds of the caller, or null where that is as the caller says
     * @param ages        milliseconds since some members answered anybody, by name
     * @param reachable   of those that do not answer the caller, who answered this member lately; null for none
     * @param news        recent changes; null for none
     */
    record Pong(
            @SerializedName("i") long incarnation,
            MemberUpdate about,
            @SerializedName("heard") Map<String, Integer> ages,
            @SerializedName("reach") List<String> reachable,
            List<MemberUpdate> news) {}

    /** An indirect probe: asks when a member that does not answer the caller last answered, and to call that member. */
    record AgeRequest(@SerializedName("n") String member) {}

    /** @param age milliseconds since the member answered; -1 where that is not known */
    record AgeResponse(long age) {}

    /** A part of what one router holds, without facts; the response is what the other holds newer, with facts. */
    record Sync(List<MemberUpdate> news) {}
}
