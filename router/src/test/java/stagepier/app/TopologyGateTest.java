package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import stagepier.discovery.HostGroup;
import stagepier.exchange.Clock;
import stagepier.freeze.Change;
import stagepier.settings.SettingsParser;

/** A freeze must hold voluntary changes of the topology and admit the changes that a rule requires. */
class TopologyGateTest {
    private final HostGroup group = new HostGroup(
            new SettingsParser.Names(List.of("c"), List.of(), List.of("a", "b"), List.of("m")), new Clock());
    private final Map<String, Runnable> held = new LinkedHashMap<>();
    private final List<String> asked = new ArrayList<>();
    private boolean frozen;

    @BeforeEach
    void gate() {
        group.setAdmission(new TopologyGate(
                new TopologyGate.Holder() {
                    @Override
                    public boolean offer(Change change, Runnable later) {
                        asked.add(change.kind() + " " + change.server() + " " + change.zone());
                        held.remove(change.server());
                        if (frozen) {
                            held.put(change.server(), later);
                        }
                        return !frozen;
                    }

                    @Override
                    public void overtaken(String server) {
                        held.remove(server);
                    }
                },
                List.of("a", "b"),
                group::admit));
        applyList(1, true, entry("s1", "up", 1, "a", 1, 0), entry("s2", "up", 2, "a", 1, 0));
        assertEquals(List.of(), asked, "the first list is applied without the calendar");
        frozen = true;
    }

    private List<String> applyList(long generation, boolean reset, String... entries) {
        HostGroup.Change change = group.apply(JsonParser.parseString("{\"generation\":" + generation + ",\"reset\":"
                + reset + ",\"instances\":[" + String.join(",", entries) + "]}"));
        return describe(change);
    }

    private static List<String> describe(HostGroup.Change change) {
        return change.hosts().stream()
                .map(h -> h.name() + " " + h.member().state() + " "
                        + (h.address() == null ? "-" : h.address().getPort()) + " "
                        + h.member().zone() + " " + h.member().weight() + " "
                        + h.member().startedAt())
                .toList();
    }

    private static String entry(String id, String lifecycle, int port, String zone, double weight, long started) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone + "\","
                + "\"machineType\":\"m\",\"cell\":0,\"lifecycle\":\"" + lifecycle + "\",\"weight\":" + weight
                + ",\"startedAtMs\":"
                + started + "}";
    }

    @Test
    void voluntaryChangesAreHeldAndOldEntryStaysInUse() {
        assertEquals(List.of(), applyList(2, false, entry("s3", "up", 3, "b", 1, 0)));
        assertEquals(List.of("s1 READY 1 0 1.0 0.0"), applyList(3, false, entry("s1", "up", 1, "a", 2, 0)));
        assertEquals(List.of("s1 READY 1 0 1.0 0.0"), applyList(4, false, entry("s1", "up", 1, "b", 1, 0)));
        assertEquals(
                List.of("s1 READY 1 0 1.0 7.0"),
                applyList(5, false, entry("s1", "up", 9, "a", 1, 7000)),
                "the new start time is applied");
        assertEquals(List.of("ADD_SERVER s3 b", "WEIGHT s1 a", "ZONE s1 b", "ADDRESS s1 a"), asked);
        List<String> applied = applyList(
                6,
                true,
                entry("s1", "up", 9, "a", 1, 7000),
                entry("s2", "up", 2, "a", 1, 0),
                entry("s3", "up", 3, "b", 1, 0));
        assertEquals(List.of("s1 READY 1 0 1.0 7.0", "s2 READY 2 0 1.0 0.0"), applied);
        assertEquals(List.of("s1", "s3"), held.keySet().stream().sorted().toList());
    }

    /** Prevents requests to a process of another server: the old address now belongs to that server. */
    @Test
    void serverWhoseAddressWasReassignedDrainsUntilItMayMove() {
        assertEquals(
                List.of("s1 DRAINING 1 0 1.0 0.0"),
                applyList(2, false, entry("s1", "up", 9, "a", 1, 0), entry("s3", "up", 1, "a", 1, 0)));
        assertEquals(List.of("s1", "s3"), held.keySet().stream().sorted().toList());
    }

    @Test
    void requiredChangesAreAdmittedAndReplaceHeldOnes() {
        applyList(2, false, entry("s1", "up", 1, "a", 2, 0), entry("s3", "up", 3, "a", 1, 0));
        assertEquals(List.of("s1 DRAINING 1 0 2.0 0.0"), applyList(3, false, entry("s1", "draining", 1, "a", 2, 0)));
        assertEquals(
                List.of("s3 GONE 3 0 1.0 0.0".replace(" 3 ", " - ")),
                applyList(4, false, entry("s3", "removed", 3, "a", 1, 0)));
        assertEquals(List.of(), List.copyOf(held.keySet()));
        assertEquals(
                List.of("s1 DRAINING 1 0 2.0 0.0"),
                applyList(5, false, entry("s1", "up", 1, "a", 2, 0)),
                "a server that returns counts as added");
        assertEquals(
                List.of("s2 READY 2 0 1.0 5.0"),
                applyList(6, false, entry("s2", "up", 2, "a", 1, 5000)),
                "a restart is not held");
    }

    @Test
    void heldChangeOfUnlistedServerIsDiscarded() {
        applyList(2, false, entry("s3", "up", 3, "a", 1, 0));
        applyList(3, true, entry("s1", "up", 1, "a", 1, 0));
        assertEquals(List.of(), List.copyOf(held.keySet()));
    }

    @Test
    void heldEntryIsAppliedLater() {
        applyList(2, false, entry("s3", "up", 3, "b", 1, 4000));
        held.get("s3").run();
        frozen = false;
        assertEquals(List.of("s3 DRAINING 3 1 1.0 4.0"), applyList(3, false, entry("s3", "draining", 3, "b", 1, 4000)));
        assertEquals(1, asked.size(), "a drain needs no permission");
    }
}
