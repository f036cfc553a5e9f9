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

/** Routers in virtual time that only maintain a view, with a record of their view changes. */
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
    /** Changes of views, one line per change. */
    final List<String> lines = new ArrayList<>();
    /** Running members that were declared gone: time, declaring router and member. */
    final List<String> falselyGone = new ArrayList<>();
    /** Number of views published. */
    int published;

    /** Time of the last published view in seconds. */
    double lastPublished;

    final class Process {
        final VirtualWorld.Node node;
        final Membership membership;
        private long epoch;
        private List<?> states = List.of();

        Process(String name, Duration wallOffset) {
            node = world.node(name, wallOffset);
            FleetRpc calls = net.calls(node);
            membership = new Membership(
                    node,
                    calls,
                    config(name),
                    (event, values) -> record(name, event, values),
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

        private void record(String name, String event, Object... values) {
            long next = (Long) values[1];
            if (next < epoch) {
                throw new AssertionError("the epoch of " + name + " decreased from " + epoch + " to " + next);
            }
            epoch = next;
            published++;
            lastPublished = world.seconds();
            for (Object state : (List<?>) values[5]) {
                String[] parts = state.toString().split(":");
                if (parts[2].equals("GONE") && !parts[1].equals("0") && isUp(parts[0])) {
                    falselyGone.add(
                            String.format(Locale.ROOT, "%.2f %s calls %s gone", world.seconds(), name, parts[0]));
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

    /** Starts all processes of the fleet and waits until the views have settled. */
    static ViewFleet settled(int size, long seed) {
        ViewFleet fleet = new ViewFleet(size, seed);
        fleet.names.forEach(n -> fleet.start(n, Duration.ZERO));
        if (fleet.settleTime(10, Set.of(fleet.names)) < 0) {
            throw new AssertionError(
                    "the fleet did not settle after its start: " + fleet.disagreement(Set.of(fleet.names)));
        }
        fleet.falselyGone.clear();
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

    void start(String name, Duration wallOffset) {
        if (isUp(name)) {
            throw new IllegalStateException(name + " is up");
        }
        processes.put(name, new Process(name, wallOffset));
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

    /** Returns why some side does not see exactly its own members as alive; null if every side agrees. */
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
        return name + " holds " + different.size() + " members differently, such as " + different.get(0)
                + " and another "
                + other.stream()
                        .filter(m -> m.name().equals(different.get(0).name()))
                        .findFirst();
    }

    /** Advances the time until each side agrees; returns the seconds, or -1 if that takes longer than the limit. */
    double settleTime(double maxSeconds, Collection<? extends Collection<String>> sides) {
        double start = world.seconds();
        while (disagreement(sides) != null) {
            if (world.seconds() - start > maxSeconds) {
                return -1;
            }
            run(0.02);
        }
        return world.seconds() - start;
    }

    /** Advances the time and returns a description of the changes in it; null for none. */
    String changesWithin(double seconds, Collection<? extends Collection<String>> sides) {
        int before = published;
        run(seconds);
        return published == before
                ? disagreement(sides)
                : (published - before) + " views published, such as "
                        + lines.subList(Math.max(0, lines.size() - 6), lines.size());
    }

    @Override
    public void close() {
        world.close();
    }
}
