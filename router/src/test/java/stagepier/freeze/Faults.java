package stagepier.freeze;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Faults drawn from a seed: what happens to a fleet, and when. */
final class Faults {
    private final VirtualFleet fleet;
    private final Random random;
    private final List<Windows> texts;
    private final VirtualFleet.Router jumper;
    private int down;
    private double standsUntil;
    private boolean healed;

    Faults(VirtualFleet fleet, List<Windows> texts) {
        this.fleet = fleet;
        this.texts = texts;
        random = new Random(fleet.world.random().nextLong());
        jumper = fleet.any(random);
        texts.forEach(fleet::known);
    }

    private static Duration s(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    /** So many faults and proposals in the time from now. */
    void plan(int faults, int proposals, double seconds) {
        for (int i = 0; i < faults; i++) {
            fleet.world.after(s(random.nextDouble() * seconds), this::fault);
        }
        for (int i = 0; i < proposals; i++) {
            fleet.world.after(s(random.nextDouble() * seconds), () -> propose(fleet.any(random)));
        }
    }

    private void propose(VirtualFleet.Router router) {
        router.propose(texts.get(random.nextInt(texts.size())));
        if (random.nextInt(4) == 0) {
            // Staff give another one a different file at the same moment.
            fleet.any(random).propose(texts.get(random.nextInt(texts.size())));
        }
    }

    private List<String> some(int count) {
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
            case 0 -> partition(some(n / 2), time);
            case 1 -> partition(some(1), time);
            case 2 -> bridge(time);
            case 3 -> oneWay(some(1 + random.nextInt(n / 2)), time);
            case 4 -> flap(some(n / 2), 4);
            case 5 -> {
                double stands = random.nextInt(2) == 0 ? 4 : time;
                fleet.any(random).node.standStill(s(stands));
                standsUntil = Math.max(standsUntil, fleet.world.seconds() + stands);
            }
            case 6 -> {
                fleet.net.loss(0.05 + random.nextDouble() * 0.2);
                fleet.world.after(s(time), () -> fleet.net.loss(0));
            }
            // One clock at most is wrong at a time: where a majority's are, nobody can tell.
            case 7 -> jumper.node.jump(s((random.nextBoolean() ? 1 : -1) * (30 + random.nextInt(5000))));
            case 8 -> some(fleet.routers.size() / 2 + 1).forEach(name -> restart(name, random.nextDouble() * 2));
            default -> restart(fleet.any(random).name, random.nextDouble() < 0.5 ? 0.001 : random.nextDouble() * 3);
        }
    }

    void restart(String name, double later) {
        VirtualFleet.Router router = fleet.routers.stream()
                .filter(r -> r.name.equals(name))
                .findFirst()
                .orElseThrow();
        if (!router.isUp()) {
            return;
        }
        router.kill();
        down++;
        fleet.world.after(s(later), () -> {
            down--;
            router.start();
        });
    }

    /** No router is down or stands still any more. */
    boolean allUp() {
        return down == 0 && fleet.world.seconds() > standsUntil;
    }

    /** From here on all hear each other. */
    void heal() {
        healed = true;
        fleet.net.heal();
    }

    private void partition(List<String> side, double time) {
        if (healed) {
            return;
        }
        List<String> other = rest(side);
        fleet.net.partition(side, other, true);
        fleet.world.after(s(time), () -> fleet.net.partition(side, other, false));
    }

    private void bridge(double time) {
        List<String> side = some(fleet.routers.size() / 2);
        List<String> other = new ArrayList<>(rest(side));
        other.remove(0);
        fleet.net.partition(side, other, true);
        fleet.world.after(s(time), () -> fleet.net.partition(side, other, false));
    }

    private void oneWay(List<String> deaf, double time) {
        List<String> others = rest(deaf);
        deaf.forEach(d -> others.forEach(o -> fleet.net.cut(o, d, true)));
        fleet.world.after(s(time), () -> deaf.forEach(d -> others.forEach(o -> fleet.net.cut(o, d, false))));
    }

    private void flap(List<String> side, int times) {
        if (times > 0) {
            partition(side, 0.5);
            fleet.world.after(s(1), () -> flap(side, times - 1));
        }
    }
}
