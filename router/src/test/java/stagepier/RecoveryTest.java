package stagepier;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import stagepier.Api.Lookup;
import stagepier.Api.Member;
import stagepier.Api.MemberState;
import stagepier.Api.Outcome;

/** No state of the module is permanent: whatever failures came before, normal load is served again. */
class RecoveryTest {
    private static final int SERVERS = 12;
    private static final double SHORTEST_DEADLINE = 1;

    /** An execution in flight. */
    private record Execution(long request, int attempt, long server, double at) {}

    private final Fixture f = Fixture.through(SERVERS);
    private SplittableRandom random;
    private int seenSends;
    private final List<Execution> inFlight = new ArrayList<>();
    private final java.util.Map<Long, Integer> attempts = new java.util.HashMap<>();

    /** Records the sends that the module has made since the last call. */
    private void collect() {
        for (; seenSends < f.host.sends.size(); seenSends++) {
            ScriptedHost.Sent s = f.host.sends.get(seenSends);
            inFlight.add(
                    new Execution(s.request(), attempts.merge(s.request(), 1, Integer::sum) - 1, s.server(), f.now));
        }
    }

    private void end(Execution e, Outcome outcome) {
        inFlight.remove(e);
        f.policy.onOutcome(
                f.now,
                e.request(),
                e.attempt(),
                e.server(),
                outcome,
                f.now - e.at(),
                outcome == Outcome.OK,
                Lookup.values()[random.nextInt(3)],
                Fixture.NO_REPORT);
        collect();
    }

    private void sendRandomFailures(int steps, int severity) {
        Outcome[] bad = {Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET};
        Outcome mostFrequent = bad[random.nextInt(bad.length)];
        for (int i = 0; i < steps; i++) {
            f.now += random.nextDouble() * 0.01;
            if (random.nextInt(3) > 0) {
                f.request(
                        random.nextInt(3), 1 + random.nextInt(500), 0.05 + random.nextDouble(), random.nextInt(9) == 0);
                collect();
            }
            if (!inFlight.isEmpty() && random.nextBoolean()) {
                Execution e = inFlight.get(random.nextInt(inFlight.size()));
                boolean fails = random.nextInt(10) < severity;
                end(e, !fails ? Outcome.OK : random.nextBoolean() ? mostFrequent : bad[random.nextInt(bad.length)]);
            }
            if (random.nextInt(300) == 0) {
                long id = 1 + random.nextInt(SERVERS);
                MemberState state = MemberState.values()[random.nextInt(3)];
                f.members(false, List.of(Fixture.member(id, state, random.nextBoolean() ? 0 : f.now)));
            }
        }
    }

    /** Returns the fraction of requests refused in a period of normal load, with fast and successful answers. */
    private double refusedShareDuring(double seconds) {
        int refused = f.host.finalAnswers();
        int requests = 0;
        for (double until = f.now + seconds; f.now < until; requests++) {
            f.now += 0.01;
            f.request(0, 1 + random.nextInt(200));
            collect();
            for (Execution e : new ArrayList<>(inFlight)) {
                f.now += 1e-4;
                end(e, Outcome.OK);
            }
        }
        return (f.host.finalAnswers() - refused) / (double) requests;
    }

    @Property(seed = "31", tries = 150)
    void normalLoadIsServedWithinThreeDeadlinesAfterAnyFailures(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 10) int severity,
            @ForAll @IntRange(min = 50, max = 4000) int steps) {
        random = new SplittableRandom(seed);
        f.warm(30);
        seenSends = f.host.sends.size();
        sendRandomFailures(steps, severity);
        if (severity == 10 && steps > 1000) {
            assertTrue(
                    f.host.finalAnswers() > steps / 3,
                    "too few refusals under full failure: " + f.host.finalAnswers() + " of " + steps);
        }
        // Failures end: all executions in flight time out, and all servers are listed as at the start.
        for (Execution e : new ArrayList<>(inFlight)) {
            end(e, Outcome.TIMEOUT);
        }
        List<Member> fleet = new ArrayList<>(Fixture.fleet(SERVERS, 0));
        f.members(true, fleet);
        refusedShareDuring(3 * SHORTEST_DEADLINE);
        double refused = refusedShareDuring(2);
        assertTrue(refused <= 0.05, refused + " of requests refused after severity " + severity);
    }
}
