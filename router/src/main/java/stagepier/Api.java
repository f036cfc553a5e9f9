package stagepier;

import java.util.Collection;
import java.util.List;

/**
 * The whole interface of the decision module: the facts it is given, the events that call into it
 * ({@link Events}) and the actions it asks of its host ({@link Host}).
 *
 * <p>An instance serves one balancer, is called by one thread at a time, does no I/O and reads no clock:
 * every event carries the time. Times and durations are in seconds. Actions are called back within an event,
 * in the order in which they are to take effect.
 */
public final class Api {
    /** The module reports to other balancers so often on the mean, in shortest deadlines. */
    public static final double REPORT_PERIOD_IN_DEADLINES = 0.18;

    private Api() {}

    /** What a repeat of a request may do. */
    public enum Repeat {
        /** May run any number of times. */
        SAFE,
        /** Carries a key by which the servers of its {@link Scope} drop repeats for a while. */
        KEYED,
        /** Must not run twice. */
        UNSAFE
    }

    /** The servers that drop each other's repeats of a keyed request. */
    public enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** What a member's weight stands for. */
    public enum WeightMeaning {
        /** Nothing; it is constant. */
        NONE,
        /** The registered or approximate size. */
        SIZE,
        /** The size, lowered the more requests the server held some time ago. */
        LIVE
    }

    /** Where a miss is fetched. */
    public enum Fetching {
        /** The cache server fetches what it lacks. */
        THROUGH,
        /** The cache server answers {@link Outcome#MISS} and the balancer asks the origin. */
        ASIDE
    }

    /** State of a member in the list of servers. */
    public enum MemberState {
        READY,
        DRAINING,
        GONE
    }

    /** How an attempt ended. */
    public enum Outcome {
        OK(false),
        ERROR(false),
        FULL(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        NOT_SENT(true),
        MISS(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether the outcome proves that the attempt never ran. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /** What a server said of the lookup itself. */
    public enum Lookup {
        UNKNOWN,
        HIT,
        MISS,
        MISS_FETCHING
    }

    /**
     * A class of requests.
     *
     * @param target         answers within this time earn full worth
     * @param deadline    the client gives up after this time, over all its tries
     * @param lateWorth   part of the worth that an answer between aim and deadline earns
     * @param dedupWindow for keyed ones: how long a repeat is dropped, from the first send that may have run
     * @param streamed    the answer is streamed, see {@link Events#onFirstByte}
     */
    public record RequestClass(
            Repeat repeat,
            Scope dedupScope,
            double dedupWindow,
            double target,
            double deadline,
            double worth,
            double lateWorth,
            boolean streamed) {}

    /** A tenant: its part of the service, and requests per second within its share over all balancers. */
    public record Tenant(double share, double quotaPerSecond) {}

    /**
     * What the host permits. A {@code maxRetryAfter} of 0 means that clients get no advice.
     *
     * @param peers balancers may tell each other {@link ServerReport}
     */
    public record Limits(
            int maxAttempts,
            boolean concurrentAttempts,
            boolean cancel,
            boolean probes,
            double maxRetryAfter,
            double connectTimeout,
            boolean peers) {
        /** Of a balancer that is on its own. */
        public Limits(
                int maxAttempts,
                boolean concurrentAttempts,
                boolean cancel,
                boolean probes,
                double maxRetryAfter,
                double connectTimeout) {
            this(maxAttempts, concurrentAttempts, cancel, probes, maxRetryAfter, connectTimeout, false);
        }
    }

    /**
     * What one balancer tells the others of a server.
     *
     * @param inFlight its attempts that are out there
     * @param open     it has a circuit open against it
     */
    public record ServerReport(long server, int inFlight, boolean open) {}

    /**
     * What all other balancers told of a server, added up.
     *
     * @param inFlight their attempts that are out there
     * @param open     how many of them have a circuit open against it
     */
    public record PeerTotals(long server, int inFlight, int open) {
        /** A server of which nobody reports anything. */
        public static PeerTotals none(long server) {
            return new PeerTotals(server, 0, 0);
        }
    }

    /**
     * Start and warm-up of a server, and the drain rule.
     *
     * @param drainGrace     nothing may be sent later than this after word of a drain
     * @param coldShare      part of its capacity at which a server starts, at least
     * @param warmUp         time by which it has its full capacity
     * @param overloadFactor sent this many times its present capacity, by all balancers together ...
     * @param overloadSpan   ... for this long, a cold server falls over
     */
    public record Protection(
            double drainGrace, double coldShare, double warmUp, double overloadFactor, double overloadSpan) {}

    /** What costs: wasted work as a part of the work offered, and an origin fetch for each request. */
    public record Prices(double waste, double originFetch, double crossZone) {}

    /** Names of the values in a load report, as far as the module knows them; -1 where a value is absent. */
    public record ReportLayout(int queue, int inFlight, int hitShare) {
        public static final ReportLayout NONE = new ReportLayout(-1, -1, -1);
    }

    /**
     * All settings of an instance.
     *
     * @param balancers  number of balancers, this one included
     * @param originKind the member kind of the origin where {@link Fetching#ASIDE}, otherwise -1
     * @param tick       shortest time between two events that the host can deliver
     * @param quotaWorth worth of a request beyond its tenant's share, as a part of the usual
     * @param listOnRequest changes of the list come only after {@link Host#watchMembers}
     */
    public record Settings(
            int balancers,
            int zone,
            List<RequestClass> classes,
            List<Tenant> tenants,
            WeightMeaning weights,
            Fetching fetching,
            int originKind,
            double tick,
            double quotaWorth,
            Limits limits,
            Protection protection,
            Prices prices,
            ReportLayout report,
            boolean listOnRequest) {
        /** Mean seconds between two reports of the module to other balancers. */
        public double reportPeriod() {
            return REPORT_PERIOD_IN_DEADLINES
                    * classes.stream().mapToDouble(RequestClass::deadline).min().orElseThrow();
        }
    }

    /** A server in the list. {@code startedAt} 0 means long ago. */
    public record Member(long id, int zone, int cell, int kind, MemberState state, double weight, double startedAt) {}

    /**
     * A request as it arrives.
     *
     * @param key         what it concerns; 0 for none
     * @param budget      time left before the client gives up this try
     * @param costHint    its work in core seconds, roughly; 0 where unknown
     * @param clientRetry the client says that it asks again
     */
    public record Request(
            long id,
            int classIndex,
            int tenant,
            long key,
            double budget,
            double costHint,
            boolean clientRetry,
            boolean write) {}

    /** A ring that has taken over part of the keys from the module's own. Immutable. */
    public interface PromotedRing {
        boolean holds(long key);

        HashRing ring();

        /** Which server a slot of that ring stands for. */
        long serverAt(int slot);
    }

    /** What happens to a balancer; implemented by {@link RoutingPolicy}. */
    public interface Events {
        /** The list of servers: complete, or only what changed. A server missing in a complete one is gone. */
        void onMembers(double now, boolean complete, List<Member> members);

        /** A call for the list failed, or its subscription broke; the last list still stands. */
        void onMembersFailed(double now);

        void onRequest(double now, Request request);

        /** The answer of a streamed class has begun: the attempt now belongs to the client. */
        void onFirstByte(double now, long request, int attempt);

        /**
         * An attempt ended; every send gets exactly one of these, even after the request's end.
         *
         * @param finished the client has its answer or is gone; otherwise a final answer is still owed
         * @param report   load report in the order of the settings, or an empty array; reused by the host
         */
        void onOutcome(
                double now,
                long request,
                int attempt,
                long server,
                Outcome outcome,
                double elapsed,
                boolean finished,
                Lookup lookup,
                float[] report);

        /** The client left. */
        void onClientGone(double now, long request);

        /** A timer set by {@link Host#setTimer} came due. */
        void onTimer(double now, long token);

        /** A probe asked for by {@link Host#probe} ended. */
        default void onProbe(double now, long server, Outcome outcome, double elapsed, float[] report) {}

        /** What all other balancers report of these servers may have changed, see {@link Host#peerTotals}. */
        default void onPeers(double now, Collection<Long> changed) {}

        /** Another ring has part of the keys from now on; null for none. */
        default void onPromoted(double now, PromotedRing map) {}

        /** Whether a server is to be spared what is not needed. Changes nothing. */
        default boolean avoidsOptionalLoad(double now, long server) {
            return false;
        }
    }

    /** What the module asks of its host. */
    public interface Host {
        /** Begins an attempt; attempts of a request count from 0 in the order of their sends. */
        void send(long request, long server, double timeout);

        /**
         * The same where nothing of it may be sent later than so many seconds from now: it then ends as never sent. A host
         * on which no attempt waits before it is sent need not look at that.
         */
        default void send(long request, long server, double timeout, double startWithin) {
            send(request, server, timeout);
        }

        void cancel(long request, int attempt);

        /** Final answer that tells the client that asking again does no harm. */
        void refuse(long request, double retryAfter);

        /** Final answer that promises nothing. */
        void fail(long request);

        void setTimer(double delay, long token);

        void probe(long server);

        /** Gives back the idle connections to a server, for others to use. */
        void closeIdle(long server);

        /** Asks for the changes of the list that were missed and all to come. */
        void watchMembers();

        /** Tells all other balancers. What matters most comes first, for a message is short; it may be lost. */
        default void reportToPeers(List<ServerReport> news) {}

        /** What all other balancers report of a server, added up; {@link Events#onPeers} tells when it changes. */
        default PeerTotals peerTotals(long server) {
            return PeerTotals.none(server);
        }

        /** How many attempts each one in these sums stands for on the mean; sums vary as much more. */
        default double peerWeight() {
            return 1;
        }

        /** A line for the operators. */
        void logMessage(String text);
    }
}
