package stagepier.freeze;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Injects faults into a fleet, with kinds and times drawn from a seed. */
final class FaultInjector {
    private final VirtualFleet fleet;
    private final Random random;
    private final List<Windows> calendars;
    private final VirtualFleet.Router clockJumper;
    private int down;
    private double pausedUntil;
    private boolean healed;

    FaultInjector(VirtualFleet fleet, List<Windows> calendars) {
        this.fleet = fleet;
        this.calendars = calendars;
        random = new Random(fleet.world.random().nextLong());
        clockJumper = fleet.any(random);
        calendars.forEach(fleet::track);
    }

    private static Duration s(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    /** Schedules the given numbers of faults and proposals at random times within the next seconds. */
    void plan(int faults, int proposals, double seconds) {
        for (int i = 0; i < faults; i++) {
            fleet.world.after(s(random.nextDouble() * seconds), this::fault);
        }
        for (int i = 0; i < proposals; i++) {
            fleet.world.after(s(random.nextDouble() * seconds), () -> propose(fleet.any(random)));
        }
    }

    private void propose(VirtualFleet.Router router) {
        router.propose(calendars.get(random.nextInt(calendars.size())));
        if (random.nextInt(4) == 0) {
            // Another router gets a different file at the same moment.
            fleet.any(random).propose(calendars.get(random.nextInt(calendars.size())));
        }
    }

    private List<String> randomRouters(int count) {
        List<String> names =
                new ArrayList<>(fleet.routers.stream().map(r -> r.name).toList());
        Collections.shuffle(names, random);
        return names.subList(0, count);
    }

    private List<String> rest(List<String> names) {
        return fleet.routers.stream()
                .map(r -> r.name)
                .filter(n -> !names.contains(n))
                .toList();
    }

    private void fault() {
        int n = fleet.routers.size();
        double time = 0.3 + random.nextDouble() * 4;
        switch (random.nextInt(10)) {
            case 0 -> partition(randomRouters(n / 2), time);
            case 1 -> partition(randomRouters(1), time);
            case 2 -> bridge(time);
            case 3 -> oneWay(randomRouters(1 + random.nextInt(n / 2)), time);
            case 4 -> flap(randomRouters(n / 2), 4);
            case 5 -> {
                double pause = random.nextInt(2) == 0 ? 4 : time;
                fleet.any(random).node.standStill(s(pause));
                pausedUntil = Math.max(pausedUntil, fleet.world.seconds() + pause);
            }
            case 6 -> {
                fleet.net.loss(0.05 + random.nextDouble() * 0.2);
                fleet.world.after(s(time), () -> fleet.net.loss(0));
            }
            // At most one clock is wrong at a time: a majority of wrong clocks cannot be detected.
            case 7 -> clockJumper.node.jump(s((random.nextBoolean() ? 1 : -1) * (30 + random.nextInt(5000))));
            case 8 ->
                randomRouters(fleet.routers.size() / 2 + 1).forEach(name -> restart(name, random.nextDouble() * 2));
            default -> restart(fleet.any(random).name, random.nextDouble() < 0.5 ? 0.001 : random.nextDouble() * 3);
        }
    }

    void restart(String name, double delay) {
        VirtualFleet.Router router = fleet.routers.stream()
                .filter(r -> r.name.equals(name))
                .findFirst()
                .orElseThrow();
        if (!router.isUp()) {
            return;
        }
        router.kill();
        down++;
        fleet.world.after(s(delay), () -> {
            down--;
            router.start();
        });
    }

    /** Whether no router is down or paused any more. */
    boolean allUp() {
        return down == 0 && fleet.world.seconds() > pausedUntil;
    }

    /** Removes all partitions and prevents new ones. */
    void heal() {
        healed = true;
        fleet.net.heal();
    }

    private void partition(List<String> side, double seconds) {
        if (healed) {
            return;
        }
        List<String> other = rest(side);
        fleet.net.partition(side, other, true);
        fleet.world.after(s(seconds), () -> fleet.net.partition(side, other, false));
    }

    private void bridge(double seconds) {
        List<String> side = randomRouters(fleet.routers.size() / 2);
        List<String> other = new ArrayList<>(rest(side));
        other.remove(0);
        fleet.net.partition(side, other, true);
        fleet.world.after(s(seconds), () -> fleet.net.partition(side, other, false));
    }

    private void oneWay(List<String> receivers, double seconds) {
        List<String> others = rest(receivers);
        receivers.forEach(r -> others.forEach(o -> fleet.net.cut(o, r, true)));
        fleet.world.after(s(seconds), () -> receivers.forEach(r -> others.forEach(o -> fleet.net.cut(o, r, false))));
    }

    private void flap(List<String> side, int times) {
        if (times > 0) {
            partition(side, 0.5);
            fleet.world.after(s(1), () -> flap(side, times - 1));
        }
    }
}
