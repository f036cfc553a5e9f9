package stagepier.freeze;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.fleet.FleetConfig;
import stagepier.fleet.FleetRpc;
import stagepier.fleet.SimulatedNetwork;
import stagepier.fleet.VirtualWorld;

/** Tests a second agreed sequence beside the calendar, in virtual time. */
@Timeout(60)
class AgreedSequenceTest {
    private static final List<String> NAMES = List.of("n0", "n1", "n2", "n3", "n4");

    private final VirtualWorld world = new VirtualWorld(1);
    private final SimulatedNetwork net = new SimulatedNetwork(world);
    private final TreeMap<String, VirtualWorld.Node> nodes = new TreeMap<>();
    private final TreeMap<String, AgreedSequence> sequences = new TreeMap<>();
    private final List<String> events = new ArrayList<>();
    private long seed;

    private void start(String name) {
        TreeMap<String, InetSocketAddress> members = new TreeMap<>();
        NAMES.forEach(n -> members.put(n, new InetSocketAddress("127.0.0.1", 1)));
        FleetConfig config = new FleetConfig(
                null, "", name, members.get(name), members, null, Duration.ofSeconds(3), Duration.ofSeconds(2), null);
        VirtualWorld.Node node = world.node(name, Duration.ZERO);
        FleetRpc calls = net.calls(node);
        AgreedSequence agreed =
                new AgreedSequence("promotion", node, calls, config, (event, values) -> events.add(event), ++seed);
        agreed.start();
        calls.start();
        nodes.put(name, node);
        sequences.put(name, agreed);
    }

    @AfterEach
    void close() {
        world.close();
    }

    private Boolean propose(String at, String text) {
        AtomicReference<Boolean> accepted = new AtomicReference<>();
        nodes.get(at).start("propose", () -> accepted.set(sequences.get(at).propose(text, Duration.ofSeconds(5))));
        assertTrue(world.runUntil(() -> accepted.get() != null, Duration.ofSeconds(10)));
        return accepted.get();
    }

    private boolean allLearned(String text) {
        return sequences.values().stream()
                .allMatch(t -> t.last() != null && t.last().text().equals(text));
    }

    @Test
    void allRoutersLearnOneSequenceAndAMinorityCannotAgree() {
        NAMES.forEach(this::start);
        world.run(Duration.ofSeconds(10));
        sequences.values().forEach(t -> assertNull(t.last()));
        assertTrue(propose("n1", "a"));
        assertTrue(world.runUntil(() -> allLearned("a"), Duration.ofSeconds(3)));
        long first = sequences.get("n0").last().version();
        net.partition(NAMES.subList(0, 2), NAMES.subList(2, 5), true);
        assertFalse(propose("n0", "b"), "two of five routers are no majority");
        assertTrue(propose("n4", "c"));
        assertEquals("a", sequences.get("n1").last().text());
        world.run(Duration.ofSeconds(10));
        net.heal();
        assertTrue(world.runUntil(() -> allLearned("c"), Duration.ofSeconds(3)));
        assertTrue(sequences.get("n0").last().version() > first);
        nodes.get("n3").kill();
        start("n3");
        assertTrue(
                world.runUntil(() -> allLearned("c"), Duration.ofSeconds(5)),
                "a restarted router learns the text again");
        assertTrue(events.stream().allMatch(e -> e.startsWith("promotion.")), events::toString);
    }
}
