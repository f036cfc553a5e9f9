package stagepier.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class VirtualWorldTest {
    private static Duration ms(long n) {
        return Duration.ofMillis(n);
    }

    /** Runs three processes that call each other and returns each reply or timeout with its time. */
    private static List<String> history(long seed) {
        List<String> lines = new ArrayList<>();
        try (VirtualWorld world = new VirtualWorld(seed)) {
            SimulatedNetwork net = new SimulatedNetwork(world);
            net.loss(0.1);
            List<VirtualWorld.Node> nodes = new ArrayList<>();
            for (String name : List.of("a", "b", "c")) {
                VirtualWorld.Node node = world.node(name, Duration.ZERO);
                nodes.add(node);
                FleetRpc calls = net.calls(node);
                calls.answer("test", (from, call) -> Message.of("test.heard", name + call.body()));
                calls.start();
                node.start("caller", () -> {
                    for (int i = 0; ; i++) {
                        for (String other : List.of("a", "b", "c")) {
                            String reply;
                            try {
                                reply = calls.call(other, Message.of("test.say", i), ms(50))
                                        .body()
                                        .toString();
                            } catch (FleetRpc.NoReplyException e) {
                                reply = "silent";
                            }
                            lines.add(world.seconds() + " " + name + " " + other + " " + reply);
                        }
                        node.sleep(ms(100));
                    }
                });
            }
            world.after(ms(1000), () -> net.cut("a", "b", true));
            world.after(ms(2000), nodes.get(2)::kill);
            world.after(ms(3000), () -> nodes.get(0).standStill(ms(4000)));
            world.run(ms(10_000));
        }
        return lines;
    }

    @Test
    void equalSeedsGiveEqualHistoriesAndDifferentSeedsDifferentOnes() {
        List<String> once = history(5);
        assertTrue(once.size() > 100, () -> "only " + once.size());
        assertEquals(once, history(5));
        assertNotEquals(once, history(6));
    }

    @Test
    void cutsAreOneWayDeadProcessesAreSilentAndPausedProcessesResume() {
        List<String> lines = history(7);
        assertTrue(lines.stream().noneMatch(l -> time(l) > 1.1 && l.contains(" a b \"b")), "a's calls do not reach b");
        assertTrue(
                lines.stream().noneMatch(l -> time(l) > 1.1 && l.contains(" b a \"a")), "a's replies do not reach b");
        assertTrue(
                lines.stream().noneMatch(l -> time(l) > 2 && l.contains(" c ") && !l.contains("silent")), "c is dead");
        assertTrue(lines.stream().noneMatch(l -> time(l) > 3.01 && time(l) < 7 && l.contains(" a c ")), "a is paused");
        assertTrue(lines.stream().anyMatch(l -> time(l) > 7 && l.contains(" a c ")), "a runs again");
    }

    private static double time(String line) {
        return Double.parseDouble(line.substring(0, line.indexOf(' ')));
    }
}
