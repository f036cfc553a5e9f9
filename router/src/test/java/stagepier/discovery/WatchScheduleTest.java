package stagepier.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Discovery away, refusing, half open, accepting and silent, answering a byte at a time or resetting, for 1 to 30 s each and
 * one after another, while the list changes. A change counts as told {@link #COUNTS_MS} after discovery had it and could be
 * reached.
 */
@Timeout(600)
class WatchScheduleTest {
    /** A thousand take some minutes: {@code -Dstagepier.schedules=1000}. */
    private static final int SCHEDULES = Integer.getInteger("stagepier.schedules", 100);

    private static final int COUNTS_MS = 6000;
    private static final int STEP_MS = 10;

    private enum Trouble {
        SILENT,
        FORGETS,
        REFUSES,
        HALF_OPEN,
        DRIPS,
        DRIPS_ONCE,
        RESETS,
        NONE
    }

    private record Told(int generation, long at) {}

    private record Reachable(long from, long to) {}

    private WatchBench bench;
    private WatchBench.Agent agent;
    private Random random;
    private List<Told> changes;
    private List<Told> known;

    @Test
    void everyChangeIsKnownByTheTimeItCounts() throws IOException {
        List<String> late = new ArrayList<>();
        long worst = 0;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            worst = Math.max(worst, play(seed, late));
        }
        System.out.println(SCHEDULES + " schedules, the latest change known after " + worst + " ms");
        assertEquals(List.of(), late);
    }

    private long play(int seed, List<String> late) throws IOException {
        random = new Random(seed);
        changes = new ArrayList<>();
        known = new ArrayList<>();
        List<Reachable> reachable = new ArrayList<>();
        List<String> course = new ArrayList<>();
        long worst = 0;
        try (WatchBench own = new WatchBench(seed)) {
            bench = own;
            agent = own.agents.get(0);
            own.watch.start();
            int troubles = 1 + random.nextInt(4);
            for (int i = 0; i <= troubles; i++) {
                long from = own.now;
                go(i == troubles ? 15_000 : random.nextInt(9000));
                reachable.add(new Reachable(from, own.now));
                if (i < troubles) {
                    Trouble trouble = Trouble.values()[random.nextInt(Trouble.values().length)];
                    long ms = 1000 + (long) (29_000 * Math.pow(random.nextDouble(), 3));
                    course.add(trouble + " at " + own.now + " for " + ms);
                    begin(trouble);
                    go(ms);
                    end();
                }
            }
        }
        for (Told change : changes) {
            long counts = reachable.stream()
                    .mapToLong(r -> Math.max(r.from(), change.at()) + COUNTS_MS <= r.to()
                            ? Math.max(r.from(), change.at())
                            : Long.MAX_VALUE)
                    .min()
                    .orElseThrow();
            long at = known.stream()
                    .filter(k -> k.generation() >= change.generation())
                    .mapToLong(Told::at)
                    .findFirst()
                    .orElse(Long.MAX_VALUE);
            if (counts < Long.MAX_VALUE) {
                worst = Math.max(worst, at - counts);
                if (at - counts >= COUNTS_MS) {
                    late.add("seed " + seed + ": " + change + " " + (at - counts) + " ms late, " + course);
                }
            }
        }
        return worst;
    }

    /** Time goes by, in which the list changes now and then. */
    private void go(long ms) throws IOException {
        for (long end = bench.now + ms; bench.now < end; ) {
            if (random.nextInt(200) == 0) {
                agent.drain();
                changes.add(new Told(agent.generation, bench.now));
            }
            bench.run(STEP_MS);
            int here = (int) bench.group.generation();
            if (known.isEmpty() || known.get(known.size() - 1).generation() < here) {
                known.add(new Told(here, bench.now));
            }
        }
    }

    private void begin(Trouble trouble) throws IOException {
        switch (trouble) {
            case SILENT -> agent.isDown = true;
            case FORGETS -> {
                agent.forgetCalls();
                agent.forgets = true;
                agent.isDown = true;
            }
            case REFUSES -> agent.cutOff(true);
            case HALF_OPEN -> agent.cutOff(false);
            case DRIPS -> agent.always = WatchBench.Speech.DRIP;
            case DRIPS_ONCE -> agent.breakOpenOnes(WatchBench.Speech.DRIP);
            case RESETS -> agent.always = WatchBench.Speech.UNTIL_A_RESET;
            default -> {}
        }
    }

    private void end() throws IOException {
        agent.isDown = false;
        agent.forgets = false;
        agent.always = WatchBench.Speech.WHOLE;
        agent.comeBack();
    }
}
