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

/** No state of the module is a trap: whatever happened before, calm demand is served again. */
class WayBackTest {
    private static final int SERVERS = 12;
    private static final double SHORTEST_DEADLINE = 1;

    /** An execution that is out. */
    private record Out(long request, int attempt, long server, double at) {}

    private final Fixture f = Fixture.through(SERVERS);
    private SplittableRandom random;
    private int told;
    private final List<Out> out = new ArrayList<>();
    private final java.util.Map<Long, Integer> attempts = new java.util.HashMap<>();

    /** Sends that the module has asked for since. */
    private void collect() {
        for (; told < f.host.sends.size(); told++) {
            ScriptedHost.Sent s = f.host.sends.get(told);
            out.add(new Out(s.request(), attempts.merge(s.request(), 1, Integer::sum) - 1, s.server(), f.now));
        }
    }

    private void end(Out o, Outcome outcome) {
        out.remove(o);
        f.policy.onOutcome(
                f.now,
                o.request(),
                o.attempt(),
                o.server(),
                outcome,
                f.now - o.at(),
                outcome == Outcome.OK,
                Lookup.values()[random.nextInt(3)],
                Fixture.NO_REPORT);
        collect();
    }

    private void chaos(int steps, int severity) {
        Outcome[] bad = {Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET};
        Outcome favourite = bad[random.nextInt(bad.length)];
        for (int i = 0; i < steps; i++) {
            f.now += random.nextDouble() * 0.01;
            if (random.nextInt(3) > 0) {
                f.request(
                        random.nextInt(3), 1 + random.nextInt(500), 0.05 + random.nextDouble(), random.nextInt(9) == 0);
                collect();
            }
            if (!out.isEmpty() && random.nextBoolean()) {
                Out o = out.get(random.nextInt(out.size()));
                boolean fails = random.nextInt(10) < severity;
                end(o, !fails ? Outcome.OK : random.nextBoolean() ? favourite : bad[random.nextInt(bad.length)]);
            }
            if (random.nextInt(300) == 0) {
                long id = 1 + random.nextInt(SERVERS);
                MemberState state = MemberState.values()[random.nextInt(3)];
                f.members(false, List.of(Fixture.member(id, state, random.nextBoolean() ? 0 : f.now)));
            }
        }
    }

    /** Requests of a stretch that were refused, in parts of all: calm demand, every answer quick and good. */
    private double refusedWhile(double seconds) {
        int refused = f.host.answers();
        int asked = 0;
        for (double until = f.now + seconds; f.now < until; asked++) {
            f.now += 0.01;
            f.request(0, 1 + random.nextInt(200));
            collect();
            for (Out o : new ArrayList<>(out)) {
                f.now += 1e-4;
                end(o, Outcome.OK);
            }
        }
        return (f.host.answers() - refused) / (double) asked;
    }

    @Property(seed = "31", tries = 150)
    void afterAnyTroubleCalmDemandIsServedWithinThreeDeadlines(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 10) int severity,
            @ForAll @IntRange(min = 50, max = 4000) int steps) {
        random = new SplittableRandom(seed);
        f.warm(30);
        told = f.host.sends.size();
        chaos(steps, severity);
        if (severity == 10 && steps > 1000) {
            assertTrue(f.host.answers() > steps / 3, "no trouble at all: " + f.host.answers() + " of " + steps);
        }
        // The trouble is over: all that is out ends, and all servers are there as they were.
        for (Out o : new ArrayList<>(out)) {
            end(o, Outcome.TIMEOUT);
        }
        List<Member> fleet = new ArrayList<>(Fixture.fleet(SERVERS, 0));
        f.members(true, fleet);
        refusedWhile(3 * SHORTEST_DEADLINE);
        double refused = refusedWhile(2);
        assertTrue(refused <= 0.05, refused + " refused after severity " + severity);
    }
}
