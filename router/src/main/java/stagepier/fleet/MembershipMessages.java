package stagepier.fleet;

import com.google.gson.annotations.SerializedName;
import java.util.List;
import java.util.Map;

/**
 * Messages of the membership protocol. Routers exchange them about ten times a second, so most fields have one-letter
 * names on the wire.
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
     * The state of one member as a router sees it.
     *
     * @param member       name of the member
     * @param incarnation  incarnation of the member
     * @param state        ordinal of its {@link FleetView.State}
     * @param suspectedBy  routers that suspect the member, if it is suspect; null or empty otherwise
     * @param factsVersion version of its facts
     * @param facts        its facts, or null if only their version is sent
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
     * @param heldIncarnation latest incarnation of the called member that the caller knows
     * @param about           the caller's state for the called member if it is not alive, so that the member can refute
     *                        it
     * @param unreachable     active members that do not answer the caller; null for none
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
     * @param incarnation incarnation of the responding member
     * @param about       the responding member's state for the caller, or null if it matches the call
     * @param ages        milliseconds since some members last answered any router, by name
     * @param reachable   members unreachable for the caller that answered this member recently; null for none
     * @param news        recent changes; null for none
     */
    record Pong(
            @SerializedName("i") long incarnation,
            MemberUpdate about,
            @SerializedName("heard") Map<String, Integer> ages,
            @SerializedName("reach") List<String> reachable,
            List<MemberUpdate> news) {}

    /**
     * An indirect probe: asks when a member that does not answer the caller last answered, and requests a probe of that
     * member.
     */
    record AgeRequest(@SerializedName("n") String member) {}

    /** @param age milliseconds since the member last answered; -1 if unknown */
    record AgeResponse(long age) {}

    /**
     * A part of one router's state, without facts. The response contains the entries that are newer there, with facts.
     */
    record Sync(List<MemberUpdate> news) {}
}
