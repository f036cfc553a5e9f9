package stagepier;

import java.util.ArrayList;
import java.util.List;
import stagepier.Api.Fetching;
import stagepier.Api.Lookup;
import stagepier.Api.Member;
import stagepier.Api.MemberState;
import stagepier.Api.Outcome;
import stagepier.Api.Repeat;
import stagepier.Api.Scope;
import stagepier.Api.WeightMeaning;

/** One router with a fleet of servers, and short methods for its events. Classes: 0 safe, 1 keyed, 2 unsafe. */
final class Fixture {
    static final float[] NO_REPORT = {};
    static final long ORIGIN = 9000;
    static final int ORIGIN_KIND = 7;

    final ScriptedHost host = new ScriptedHost();
    final RoutingPolicy policy;
    double now = 100;
    private long nextId = 1;

    Fixture(Api.Settings settings) {
        policy = new RoutingPolicy(settings, 42, host);
    }

    static Fixture through(int servers) {
        Fixture f = new Fixture(settings(Fetching.THROUGH, true, Scope.ALL, WeightMeaning.NONE));
        f.members(true, fleet(servers, 0));
        return f;
    }

    static Fixture aside(int servers) {
        Fixture f = new Fixture(settings(Fetching.ASIDE, true, Scope.ALL, WeightMeaning.NONE));
        List<Member> members = new ArrayList<>(fleet(servers, 0));
        members.add(new Member(ORIGIN, 0, 0, ORIGIN_KIND, MemberState.READY, 1, 0));
        f.members(true, members);
        return f;
    }

    static Api.Settings settings(Fetching fetching, boolean concurrent, Scope scope, WeightMeaning weights) {
        return new Api.Settings(
                4,
                0,
                List.of(
                        new Api.RequestClass(Repeat.SAFE, Scope.CELL, 0, 0.5, 1.0, 1, 0, false),
                        new Api.RequestClass(Repeat.KEYED, scope, 0.4, 0.5, 1.0, 5, 0.5, false),
                        new Api.RequestClass(Repeat.UNSAFE, Scope.CELL, 0, 0.5, 1.0, 5, 0, false)),
                List.of(),
                weights,
                fetching,
                fetching == Fetching.ASIDE ? ORIGIN_KIND : -1,
                0.005,
                0.1,
                new Api.Limits(4, concurrent, true, false, 0.75, 0.1),
                new Api.Protection(0.5, 0.2, 20, 3, 2),
                new Api.Prices(0.1, 0, 0),
                Api.ReportLayout.NONE,
                false);
    }

    static List<Member> fleet(int servers, double startedAt) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            members.add(member(i + 1, MemberState.READY, startedAt));
        }
        return members;
    }

    static Member member(long id, MemberState state, double startedAt) {
        return new Member(id, (int) id % 3, (int) id % 5, 0, state, 1, startedAt);
    }

    void members(boolean complete, List<Member> members) {
        policy.onMembers(now, complete, members);
    }

    long request(int classIndex, long key) {
        return request(classIndex, key, 1.0, false);
    }

    long request(int classIndex, long key, double budget, boolean write) {
        long id = nextId++;
        policy.onRequest(now, new Api.Request(id, classIndex, 0, key, budget, 0, false, write));
        return id;
    }

    void outcome(long request, int attempt, long server, Outcome outcome, double elapsed) {
        policy.onOutcome(
                now, request, attempt, server, outcome, elapsed, outcome == Outcome.OK, Lookup.UNKNOWN, NO_REPORT);
    }

    /** Sends a request that is answered with OK; returns its server, or -1 if it was refused. */
    long serve(int classIndex, long key) {
        int before = host.sends.size();
        long id = request(classIndex, key);
        if (host.sends.size() == before) {
            return -1;
        }
        long server = host.last().server();
        now += 0.05;
        outcome(id, 0, server, Outcome.OK, 0.05);
        return server;
    }

    /** Serves a number of requests with distinct keys, from which the router learns normal answer times. */
    void warm(int requests) {
        for (int i = 0; i < requests; i++) {
            serve(0, i + 1);
        }
    }

    /** Ends a first attempt with an outcome; returns whether another send followed. */
    boolean retriesAfter(int classIndex, Outcome outcome) {
        long id = request(classIndex, 77);
        int before = host.sends.size();
        long server = host.last().server();
        now += 0.1;
        outcome(id, 0, server, outcome, 0.1);
        return host.sends.size() > before;
    }
}
