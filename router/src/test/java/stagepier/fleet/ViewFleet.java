package stagepier.fleet;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import stagepier.fleet.FleetView.Member;
import stagepier.fleet.FleetView.State;

/** Routers that do nothing but keep a view, in virtual time, and what they say of each other. */
final class ViewFleet implements AutoCloseable {
    static {
        // Thousands of histories would fill the log.
        System.setProperty("org.slf4j.simpleLogger.log.stagepier.fleet.Membership", "off");
    }

    final VirtualWorld world;
    final SimulatedNetwork net;
    final List<String> names = new ArrayList<>();
    private final SortedMap<String, InetSocketAddress> addresses = new TreeMap<>();
    private final Map<String, Process> processes = new HashMap<>();
    /** What the processes told, a line each. */
    final List<String> lines = new ArrayList<>();
    /** Who was called gone while it was alive, by whom and when. */
    final List<String> wronged = new ArrayList<>();
    /** How many views were taken up, and when the last one. */
    int taken;

    double lastTaken;

    final class Process {
        final VirtualWorld.Node node;
        final Membership membership;
        private long epoch;
        private List<?> states = List.of();

        Process(String name, Duration wallOff) {
            node = world.node(name, wallOff);
            FleetRpc calls = net.calls(node);
            membership = new Membership(
                    node,
                    calls,
                    config(name),
                    (event, values) -> tell(name, event, values),
                    world.random().nextLong());
            membership.facts(new FleetView.Facts("1", config(name).hash(), 1, 0, 0));
            membership.start();
            calls.start();
        }

        private String changes(List<?> now) {
            List<Object> different = new ArrayList<>(now);
            different.removeAll(states);
            states = now;
            return different.toString();
        }

        private void tell(String name, String event, Object... values) {
            long next = (Long) values[1];
            if (next < epoch) {
                throw new AssertionError("the epoch of " + name + " ran back from " + epoch + " to " + next);
            }
            epoch = next;
            taken++;
            lastTaken = world.seconds();
            for (Object state : (List<?>) values[5]) {
                String[] parts = state.toString().split(":");
                if (parts[2].equals("GONE") && !parts[1].equals("0") && isUp(parts[0])) {
                    wronged.add(String.format(Locale.ROOT, "%.2f %s calls %s gone", world.seconds(), name, parts[0]));
                }
            }
            if (lines.size() < 20_000) {
                lines.add(
                        String.format(Locale.ROOT, "%.2f %s %s", world.seconds(), name, changes((List<?>) values[5])));
            }
        }
    }

    ViewFleet(int size, long seed) {
        world = new VirtualWorld(seed);
        net = new SimulatedNetwork(world);
        for (int i = 0; i < size; i++) {
            String name = String.format(Locale.ROOT, "r%03d", i);
            names.add(name);
            addresses.put(name, new InetSocketAddress("127.0.0.1", 1 + i));
        }
    }

    /** All processes of the fleet, within a second of each other, and let settle. */
    static ViewFleet settled(int size, long seed) {
        ViewFleet fleet = new ViewFleet(size, seed);
        fleet.names.forEach(n -> fleet.start(n, Duration.ZERO));
        if (fleet.settleTime(10, Set.of(fleet.names)) < 0) {
            throw new AssertionError(
                    "the fleet did not settle at its start: " + fleet.disagreement(Set.of(fleet.names)));
        }
        fleet.wronged.clear();
        return fleet;
    }

    private FleetConfig config(String name) {
        return new FleetConfig(
                Path.of("fleet.toml"),
                "hash",
                name,
                addresses.get(name),
                addresses,
                null,
                Duration.ofSeconds(3),
                Duration.ofSeconds(2),
                null);
    }

    void start(String name, Duration wallOff) {
        if (isUp(name)) {
            throw new IllegalStateException(name + " is up");
        }
        processes.put(name, new Process(name, wallOff));
    }

    void kill(String name) {
        processes.get(name).node.kill();
    }

    boolean isUp(String name) {
        return processes.containsKey(name) && !processes.get(name).node.isDead();
    }

    Process process(String name) {
        return processes.get(name);
    }

    FleetView view(String name) {
        return processes.get(name).membership.view();
    }

    void run(double seconds) {
        world.run(Duration.ofNanos((long) (seconds * 1e9)));
    }

    /** What keeps the sides from holding, each, that its own are alive and all others not; null where nothing does. */
    String disagreement(Collection<? extends Collection<String>> sides) {
        for (Collection<String> side : sides) {
            Set<String> own = new HashSet<>(side);
            List<Member> first = null;
            for (String name : side) {
                FleetView view = view(name);
                for (Member m : view.members()) {
                    if (own.contains(m.name()) ? m.state() != State.ALIVE : m.counts()) {
                        return name + " holds " + m;
                    }
                }
                if (view.majority() != side.size() >= names.size() / 2 + 1) {
                    return name + " has majority " + view.majority() + " of " + side.size();
                }
                if (first != null && !first.equals(view.members())) {
                    return difference(name, view.members(), first);
                }
                first = view.members();
            }
        }
        return null;
    }

    private static String difference(String name, List<Member> held, List<Member> other) {
        List<Member> different = new ArrayList<>(held);
        different.removeAll(other);
        return name + " holds " + different.size() + " otherwise, such as " + different.get(0) + " and another "
                + other.stream()
                        .filter(m -> m.name().equals(different.get(0).name()))
                        .findFirst();
    }

    /** Seconds until the sides agree, each by itself; -1 where they don't in so many. */
    double settleTime(double most, Collection<? extends Collection<String>> sides) {
        double began = world.seconds();
        while (disagreement(sides) != null) {
            if (world.seconds() - began > most) {
                return -1;
            }
            run(0.02);
        }
        return world.seconds() - began;
    }

    /** Lets time go on; what came to be held anew meanwhile, if anything. */
    String changesWithin(double seconds, Collection<? extends Collection<String>> sides) {
        int before = taken;
        run(seconds);
        return taken == before
                ? disagreement(sides)
                : (taken - before) + " views taken up, such as "
                        + lines.subList(Math.max(0, lines.size() - 6), lines.size());
    }

    @Override
    public void close() {
        world.close();
    }
}
