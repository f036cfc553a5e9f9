package stagepier.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Plays schedules of discovery faults: an agent that is silent, drops calls, refuses connections, leaves them half
 * open, sends a byte at a time or resets connections, for 1 to 30 s each and one after another, while the list changes.
 * A change is deemed known {@link #DEEMED_KNOWN_MS} after discovery had it and was reachable.
 */
@Timeout(600)
class WatchScheduleTest {
    /** Number of schedules; {@code -Dstagepier.schedules=1000} takes some minutes. */
    private static final int SCHEDULES = Integer.getInteger("stagepier.schedules", 100);

    private static final int DEEMED_KNOWN_MS = 6000;
    private static final int STEP_MS = 10;

    private enum Fault {
        SILENT,
        DROPS_CALLS,
        REFUSES_CONNECTIONS,
        HALF_OPEN,
        DRIPS,
        DRIPS_ONCE,
        RESETS,
        NONE
    }

    private record VersionAt(int generation, long at) {}

    private record Reachable(long from, long to) {}

    private WatchBench bench;
    private WatchBench.Agent agent;
    private Random random;
    private List<VersionAt> changes;
    private List<VersionAt> known;

    @Test
    void everyChangeIsKnownWhenItIsDeemedKnown() throws IOException {
        List<String> late = new ArrayList<>();
        long worst = 0;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            worst = Math.max(worst, runSchedule(seed, late));
        }
        System.out.println(SCHEDULES + " schedules, the latest change known after " + worst + " ms");
        assertEquals(List.of(), late);
    }

    private long runSchedule(int seed, List<String> late) throws IOException {
        random = new Random(seed);
        changes = new ArrayList<>();
        known = new ArrayList<>();
        List<Reachable> reachable = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        long worst = 0;
        try (WatchBench currentBench = new WatchBench(seed)) {
            bench = currentBench;
            agent = currentBench.agents.get(0);
            currentBench.watch.start();
            int faultCount = 1 + random.nextInt(4);
            for (int i = 0; i <= faultCount; i++) {
                long from = currentBench.now;
                advance(i == faultCount ? 15_000 : random.nextInt(9000));
                reachable.add(new Reachable(from, currentBench.now));
                if (i < faultCount) {
                    Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
                    long ms = 1000 + (long) (29_000 * Math.pow(random.nextDouble(), 3));
                    faults.add(fault + " at " + currentBench.now + " for " + ms);
                    startFault(fault);
                    advance(ms);
                    clearFault();
                }
            }
        }
        for (VersionAt change : changes) {
            long deadlineStart = reachable.stream()
                    .mapToLong(r -> Math.max(r.from(), change.at()) + DEEMED_KNOWN_MS <= r.to()
                            ? Math.max(r.from(), change.at())
                            : Long.MAX_VALUE)
                    .min()
                    .orElseThrow();
            long at = known.stream()
                    .filter(k -> k.generation() >= change.generation())
                    .mapToLong(VersionAt::at)
                    .findFirst()
                    .orElse(Long.MAX_VALUE);
            if (deadlineStart < Long.MAX_VALUE) {
                worst = Math.max(worst, at - deadlineStart);
                if (at - deadlineStart >= DEEMED_KNOWN_MS) {
                    late.add("seed " + seed + ": " + change + " " + (at - deadlineStart) + " ms late, " + faults);
                }
            }
        }
        return worst;
    }

    /** Advances time while the list changes now and then. */
    private void advance(long ms) throws IOException {
        for (long end = bench.now + ms; bench.now < end; ) {
            if (random.nextInt(200) == 0) {
                agent.drain();
                changes.add(new VersionAt(agent.generation, bench.now));
            }
            bench.run(STEP_MS);
            int knownGeneration = (int) bench.group.generation();
            if (known.isEmpty() || known.get(known.size() - 1).generation() < knownGeneration) {
                known.add(new VersionAt(knownGeneration, bench.now));
            }
        }
    }

    private void startFault(Fault fault) throws IOException {
        switch (fault) {
            case SILENT -> agent.isSilent = true;
            case DROPS_CALLS -> {
                agent.dropCalls();
                agent.dropsCalls = true;
                agent.isSilent = true;
            }
            case REFUSES_CONNECTIONS -> agent.stopAccepting(true);
            case HALF_OPEN -> agent.stopAccepting(false);
            case DRIPS -> agent.mode = WatchBench.ResponseMode.DRIP;
            case DRIPS_ONCE -> agent.breakOpenConnections(WatchBench.ResponseMode.DRIP);
            case RESETS -> agent.mode = WatchBench.ResponseMode.UNTIL_RESET;
            default -> {}
        }
    }

    private void clearFault() throws IOException {
        agent.isSilent = false;
        agent.dropsCalls = false;
        agent.mode = WatchBench.ResponseMode.COMPLETE;
        agent.acceptAgain();
    }
}
