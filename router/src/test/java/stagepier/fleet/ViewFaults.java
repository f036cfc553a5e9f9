package stagepier.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Injects faults into a fleet that maintains a view, and computes the connected sides that remain afterwards. */
final class ViewFaults {
    /** Faults by name, for tables; after each of them the fleet is in a lasting state. */
    enum Fault {
        KILL_ONE,
        KILL_TEN_OF_FOURTEEN,
        RESTART,
        RESTART_OF_TEN,
        HALVES,
        HALVES_HEALED,
        ONE_ALONE,
        ONE_ALONE_HEALED,
        ONE_WAY_PAIR,
        MUTE,
        MUTE_HEALED,
        DEAF,
        DEAF_HEALED,
        ONE_WAY_HALVES,
        ONE_WAY_HALVES_HEALED,
        BRIDGE,
        BRIDGE_HEALED,
        FLAP,
        STANDS_STILL,
        LEAVES
    }

    private final ViewFleet fleet;
    private final Random random;
    private final Set<String> cuts = new HashSet<>();
    private final Set<String> left = new HashSet<>();

    ViewFaults(ViewFleet fleet) {
        this.fleet = fleet;
        random = fleet.world.random();
    }

    void cut(Collection<String> from, Collection<String> to, boolean cut) {
        for (String a : from) {
            for (String b : to) {
                if (!a.equals(b)) {
                    fleet.net.cut(a, b, cut);
                    if (cut) {
                        cuts.add(a + ">" + b);
                    } else {
                        cuts.remove(a + ">" + b);
                    }
                }
            }
        }
    }

    void partition(Collection<String> a, Collection<String> b, boolean cut) {
        cut(a, b, cut);
        cut(b, a, cut);
    }

    void heal() {
        cut(fleet.names, fleet.names, false);
        fleet.net.heal();
        fleet.net.delay(0.001, 0.014);
    }

    List<String> randomMembers(int count) {
        List<String> all = new ArrayList<>(fleet.names);
        Collections.shuffle(all, random);
        return all.subList(0, count);
    }

    List<String> allExcept(Collection<String> members) {
        return fleet.names.stream().filter(n -> !members.contains(n)).toList();
    }

    void kill(Collection<String> members) {
        members.stream().filter(fleet::isUp).forEach(fleet::kill);
    }

    void start(Collection<String> members) {
        members.stream().filter(n -> !fleet.isUp(n)).forEach(n -> {
            left.remove(n);
            fleet.start(n, Duration.ofMillis(random.nextInt(4_000) - 2_000));
        });
    }

    void leave(String name) {
        left.add(name);
        fleet.process(name).membership.leave();
    }

    /** Injects a fault; returns right after its last step. */
    void inject(Fault fault) {
        int n = fleet.names.size();
        List<String> half = randomMembers(n / 2);
        List<String> one = half.subList(0, 1);
        List<String> most = randomMembers(n * 10 / 14);
        List<String> all = fleet.names;
        switch (fault) {
            case KILL_ONE -> kill(one);
            case KILL_TEN_OF_FOURTEEN -> kill(most);
            case RESTART -> {
                kill(one);
                fleet.run(random.nextDouble() * 4);
                start(one);
            }
            case RESTART_OF_TEN -> {
                kill(most);
                fleet.run(random.nextDouble() * 3);
                for (String name : most) {
                    fleet.run(random.nextDouble() * 2 / most.size());
                    start(List.of(name));
                }
            }
            case HALVES -> partition(half, allExcept(half), true);
            case ONE_ALONE -> partition(one, all, true);
            case ONE_WAY_PAIR -> cut(one, half.subList(1, 2), true);
            case MUTE -> cut(one, all, true);
            case DEAF -> cut(all, one, true);
            case ONE_WAY_HALVES -> cut(half, allExcept(half), true);
            case BRIDGE -> partition(half, allExcept(half).subList(1, n - half.size()), true);
            case HALVES_HEALED -> injectAndHeal(Fault.HALVES);
            case ONE_ALONE_HEALED -> injectAndHeal(Fault.ONE_ALONE);
            case MUTE_HEALED -> injectAndHeal(Fault.MUTE);
            case DEAF_HEALED -> injectAndHeal(Fault.DEAF);
            case ONE_WAY_HALVES_HEALED -> injectAndHeal(Fault.ONE_WAY_HALVES);
            case BRIDGE_HEALED -> injectAndHeal(Fault.BRIDGE);
            case FLAP -> {
                for (int i = 0; i < 3; i++) {
                    partition(one, all, true);
                    fleet.run(2);
                    partition(one, all, false);
                    fleet.run(i < 2 ? 2 : 0);
                }
            }
            case STANDS_STILL -> {
                fleet.process(one.get(0)).node.standStill(Duration.ofSeconds(4));
                fleet.run(4);
            }
            case LEAVES -> {
                leave(one.get(0));
                fleet.run(0.7);
                kill(one);
            }
            default -> throw new AssertionError(fault);
        }
    }

    private void injectAndHeal(Fault fault) {
        inject(fault);
        fleet.run(random.nextDouble() * 8);
        heal();
    }

    /** Returns the sets of running members that can call each other both ways, directly or through others. */
    Collection<Set<String>> sides() {
        Map<String, Set<String>> sides = new HashMap<>();
        for (String name : fleet.names) {
            if (fleet.isUp(name) && !left.contains(name) && !sides.containsKey(name)) {
                Set<String> side = new HashSet<>();
                addReachable(name, side);
                side.forEach(member -> sides.put(member, side));
            }
        }
        return new HashSet<>(sides.values());
    }

    private void addReachable(String name, Set<String> side) {
        if (side.add(name)) {
            for (String other : fleet.names) {
                if (fleet.isUp(other)
                        && !left.contains(other)
                        && !cuts.contains(name + ">" + other)
                        && !cuts.contains(other + ">" + name)) {
                    addReachable(other, side);
                }
            }
        }
    }

    List<String> down() {
        return fleet.names.stream().filter(n -> !fleet.isUp(n)).toList();
    }

    /** Checks that each side agrees within the settle time and that nothing changes for the stable time after it. */
    void check(String label, double settleSeconds, double stableSeconds) {
        Collection<Set<String>> sides = sides();
        fleet.run(settleSeconds);
        if (fleet.disagreement(sides) != null) {
            throw new AssertionError(label + " did not settle: " + fleet.disagreement(sides));
        }
        String changes = fleet.changesWithin(stableSeconds, sides);
        if (changes != null) {
            throw new AssertionError(label + " did not stay settled: " + changes);
        }
    }
}
