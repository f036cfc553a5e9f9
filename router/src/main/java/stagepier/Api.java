package stagepier;

import java.util.Collection;
import java.util.List;

/**
 * The complete interface of the decision module: its settings and data types, the events that the host delivers
 * ({@link Events}) and the actions that it requests from the host ({@link Host}).
 *
 * <p>An instance serves one router, is called by one thread at a time, does no I/O and reads no clock: every event
 * carries the time. Times and durations are in seconds. The module calls the host's actions during an event, in the
 * order in which they take effect.
 */
public final class Api {
    /** Mean period of the reports to other routers, in units of the shortest deadline. */
    public static final double REPORT_PERIOD_IN_DEADLINES = 0.18;

    private Api() {}

    /** Whether a request may be executed more than once. */
    public enum Repeat {
        /** May be executed any number of times. */
        SAFE,
        /** Carries a key by which the servers of its {@link Scope} drop repeats within a time window. */
        KEYED,
        /** Must not be executed twice. */
        UNSAFE
    }

    /** The group of servers that deduplicate a keyed request among each other. */
    public enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** Meaning of a member's weight. */
    public enum WeightMeaning {
        /** No meaning; it is constant. */
        NONE,
        /** The registered or approximate size. */
        SIZE,
        /** The size, reduced by the number of requests that the server held some time ago. */
        LIVE
    }

    /** Which component fetches a miss. */
    public enum Fetching {
        /** The cache server fetches it from the origin. */
        THROUGH,
        /** The cache server answers {@link Outcome#MISS} and the router sends the request to the origin. */
        ASIDE
    }

    /** State of a member in the server list. */
    public enum MemberState {
        READY,
        DRAINING,
        GONE
    }

    /** Result of an attempt. */
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

        /** Returns whether the outcome proves that the request was not executed by this attempt. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /** Result of the cache lookup as reported by the server. */
    public enum Lookup {
        UNKNOWN,
        HIT,
        MISS,
        MISS_FETCHING
    }

    /**
     * A class of requests.
     *
     * @param dedupWindow for keyed requests: period in which repeats are dropped, from the first send that may have run
     * @param target      answers within this time have their full worth
     * @param deadline    the client gives up after this time, counted over all its tries
     * @param lateWorth   fraction of the worth of an answer between target and deadline
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

    /** A tenant: its share of the service, and its quota in requests per second over all routers. */
    public record Tenant(double share, double quotaPerSecond) {}

    /**
     * Limits set by the host. With a {@code maxRetryAfter} of 0, refusals carry no retry-after advice.
     *
     * @param peers routers may exchange {@link ServerReport}s
     */
    public record Limits(
            int maxAttempts,
            boolean concurrentAttempts,
            boolean cancel,
            boolean probes,
            double maxRetryAfter,
            double connectTimeout,
            boolean peers) {
        /** Limits of a router that exchanges no reports with peers. */
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
     * Report of one router to its peers about a server.
     *
     * @param inFlight attempts of the reporting router that are in flight at the server
     * @param open     whether the reporting router has a circuit open against the server
     */
    public record ServerReport(long server, int inFlight, boolean open) {}

    /**
     * Sum of the reports of all other routers about a server.
     *
     * @param inFlight their attempts in flight at the server
     * @param open     number of routers that have a circuit open against the server
     */
    public record PeerTotals(long server, int inFlight, int open) {
        /** Returns the totals of a server without reports. */
        public static PeerTotals none(long server) {
            return new PeerTotals(server, 0, 0);
        }
    }

    /**
     * Warm-up of a server after its start, and the drain rule.
     *
     * @param drainGrace     no request may be sent later than this after a drain has been announced
     * @param coldShare      least fraction of its full capacity at which a server starts
     * @param warmUp         time from the start until full capacity
     * @param overloadFactor a cold server fails when all routers together send this multiple of its current capacity
     * @param overloadSpan   duration of such a load after which the server fails
     */
    public record Protection(
            double drainGrace, double coldShare, double warmUp, double overloadFactor, double overloadSpan) {}

    /** Costs: of wasted work as a fraction of the work offered, and of an origin fetch for each request. */
    public record Prices(double waste, double originFetch, double crossZone) {}

    /** Indices of the values in a load report that the module knows; -1 where a value is absent. */
    public record ReportLayout(int queue, int inFlight, int hitShare) {
        public static final ReportLayout NONE = new ReportLayout(-1, -1, -1);
    }

    /**
     * All settings of an instance.
     *
     * @param balancers     number of routers, including this one
     * @param originKind    member kind of the origin with {@link Fetching#ASIDE}, otherwise -1
     * @param tick          shortest interval between two events that the host can deliver
     * @param quotaWorth    worth of a request beyond its tenant's share, as a fraction of the normal worth
     * @param listOnRequest list changes are delivered only after {@link Host#watchMembers}
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
        /** Returns the mean seconds between two reports to other routers. */
        public double reportPeriod() {
            return REPORT_PERIOD_IN_DEADLINES
                    * classes.stream().mapToDouble(RequestClass::deadline).min().orElseThrow();
        }
    }

    /** A server in the list. A {@code startedAt} of 0 means that it started long ago. */
    public record Member(long id, int zone, int cell, int kind, MemberState state, double weight, double startedAt) {}

    /**
     * A request as received from a client.
     *
     * @param key         hash of the requested key; 0 for none
     * @param budget      time left until the client gives up this try
     * @param costHint    estimated work in core seconds; 0 where unknown
     * @param clientRetry the client marked the request as a retry
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

    /** A ring that has taken over part of the keys from the module's own ring. Immutable. */
    public interface PromotedRing {
        boolean holds(long key);

        HashRing ring();

        /** Returns the id of the server at a slot of that ring. */
        long serverAt(int slot);
    }

    /** Events delivered to the module; implemented by {@link RoutingPolicy}. */
    public interface Events {
        /** Delivers the server list, complete or only its changes. A server missing in a complete list is gone. */
        void onMembers(double now, boolean complete, List<Member> members);

        /** A request for the list failed, or its subscription broke; the last list remains valid. */
        void onMembersFailed(double now);

        void onRequest(double now, Request request);

        /** The answer to a request of a streamed class has begun: no other attempt can replace this one. */
        void onFirstByte(double now, long request, int attempt);

        /**
         * An attempt ended; called exactly once for each send, even after the request has ended.
         *
         * @param finished the client has its answer or is gone; otherwise a final answer is still required
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

        /** The client disconnected or cancelled the request. */
        void onClientGone(double now, long request);

        /** A timer set by {@link Host#setTimer} expired. */
        void onTimer(double now, long token);

        /** A probe requested by {@link Host#probe} ended. */
        default void onProbe(double now, long server, Outcome outcome, double elapsed, float[] report) {}

        /** The peer totals of these servers may have changed, see {@link Host#peerTotals}. */
        default void onPeers(double now, Collection<Long> changed) {}

        /** Another ring takes over part of the keys from now on; null for none. */
        default void onPromoted(double now, PromotedRing promotedRing) {}

        /** Returns whether a server should get no optional load. Has no side effects. */
        default boolean avoidsOptionalLoad(double now, long server) {
            return false;
        }
    }

    /** Actions that the module requests from its host. */
    public interface Host {
        /** Starts an attempt; attempts of a request are numbered from 0 in the order of their sends. */
        void send(long request, long server, double timeout);

        /**
         * Starts an attempt that must not be sent later than {@code startWithin} seconds from now; if it is not sent by
         * then, it ends as {@link Outcome#NOT_SENT}. A host that does not queue attempts may ignore the limit.
         */
        default void send(long request, long server, double timeout, double startWithin) {
            send(request, server, timeout);
        }

        void cancel(long request, int attempt);

        /** Sends a final answer which tells the client that repeating the request is safe. */
        void refuse(long request, double retryAfter);

        /** Sends a final answer which does not tell whether the request was executed. */
        void fail(long request);

        void setTimer(double delay, long token);

        void probe(long server);

        /** Closes the idle connections to a server, so that other routers can connect. */
        void closeIdle(long server);

        /** Requests the list changes missed so far and all later ones. */
        void watchMembers();

        /** Sends reports to all other routers, most important first: messages are short and may be lost. */
        default void reportToPeers(List<ServerReport> reports) {}

        /** Returns the sum of all peers' reports about a server; {@link Events#onPeers} announces changes. */
        default PeerTotals peerTotals(long server) {
            return PeerTotals.none(server);
        }

        /** Returns how many attempts each one in these sums represents on average; scales their variance. */
        default double peerWeight() {
            return 1;
        }

        /** Logs a line for the operators. */
        void logMessage(String text);
    }
}
