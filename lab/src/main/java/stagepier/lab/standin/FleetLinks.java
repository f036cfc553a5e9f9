package stagepier.lab.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import stagepier.lab.nemesis.Link;
import stagepier.lab.nemesis.Nemesis;

/** Between each router and each other one a relay for their calls; counts what each router sends. */
final class FleetLinks {
    private final SharedState world;
    private final Nemesis nemesis;
    private final int[] ports;
    /** By caller, then by who is called; null for a router itself. */
    private final List<List<StreamRelay>> doors = new ArrayList<>();

    private final Map<Integer, List<Long>> traffic = new TreeMap<>();

    /** @param ports where each router listens for calls */
    FleetLinks(SharedState world, Nemesis nemesis, int[] ports) {
        this.world = world;
        this.nemesis = nemesis;
        this.ports = ports.clone();
    }

    /** Waits; not on the event loop. */
    void listen() throws InterruptedException {
        for (int caller = 0; caller < ports.length; caller++) {
            List<StreamRelay> of = new ArrayList<>();
            for (int called = 0; called < ports.length; called++) {
                StreamRelay relay = caller == called
                        ? null
                        : new StreamRelay(world, nemesis, Link.FLEET, caller, called, ports[called], this::count);
                if (relay != null) {
                    relay.listen();
                }
                of.add(relay);
            }
            doors.add(of);
        }
    }

    /** Where a router calls another one; for itself, where it listens. */
    int door(int caller, int called) {
        return caller == called ? ports[called] : doors.get(caller).get(called).port();
    }

    private void count(int from, int bytes) {
        List<Long> seconds = traffic.computeIfAbsent(from, r -> new ArrayList<>());
        int now = (int) world.clock().now();
        while (seconds.size() <= now) {
            seconds.add(0L);
        }
        seconds.set(now, seconds.get(now) + bytes);
    }

    /** Bytes that each router sent to others, by the second of the lab's clock. */
    Map<Integer, List<Long>> traffic() {
        Map<Integer, List<Long>> all = new TreeMap<>();
        traffic.forEach((router, seconds) -> all.put(router, List.copyOf(seconds)));
        return all;
    }

    void close() {
        doors.forEach(of -> of.forEach(relay -> {
            if (relay != null) {
                relay.close();
            }
        }));
    }
}
