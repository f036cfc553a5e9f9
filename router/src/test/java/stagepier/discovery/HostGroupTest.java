package stagepier.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParser;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stagepier.Api;
import stagepier.bans.Ban;
import stagepier.exchange.Clock;
import stagepier.settings.SettingsParser;

/** Checks how messages of discovery change the list. A misread message must not remove servers. */
class HostGroupTest {
    private final HostGroup group =
            new HostGroup(new SettingsParser.Names(List.of("c"), List.of(), List.of("a"), List.of("m")), new Clock());

    private HostGroup.Change applyMessage(long generation, boolean reset, String... entries) {
        return group.apply(JsonParser.parseString("{\"generation\":" + generation + ",\"reset\":" + reset
                + ",\"instances\":[" + String.join(",", entries) + "]}"));
    }

    private static String entry(int id, String lifecycle) {
        return "{\"instanceId\":\"s-0000000" + id + "\",\"hostPort\":\"127.0.0.1:" + (9000 + id) + "\",\"zone\":\"a\","
                + "\"machineType\":\"m\",\"cell\":0,\"lifecycle\":\"" + lifecycle + "\",\"weight\":1.0,"
                + "\"startedAtMs\":2500}";
    }

    @Test
    void wholeListReportsRemovedServersAndAChangeOnlyTheServersItNames() {
        assertEquals(
                2.5,
                applyMessage(1, true, entry(1, "up"), entry(2, "up"))
                        .hosts()
                        .get(0)
                        .member()
                        .startedAt());
        HostGroup.Change change = applyMessage(2, false, entry(1, "draining"));
        assertEquals(Api.MemberState.DRAINING, change.hosts().get(0).member().state());
        assertEquals(List.of(), change.left());
        assertEquals(
                List.of(1L, 2L),
                applyMessage(3, true, entry(3, "up")).left().stream()
                        .map(h -> h.member().id())
                        .toList());
        applyMessage(4, false, entry(3, "removed"));
        assertFalse(applyMessage(5, true).left().iterator().hasNext());
    }

    private static String entryAt(int id, int port, int startedAtMs) {
        return entry(id, "up").replace(":" + (9000 + id), ":" + port).replace(":2500", ":" + startedAtMs);
    }

    /** Prevents requests for a server that has gone from being sent to the process that has come up at its address. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void serverWhoseAddressALaterOneHasIsGone(boolean complete) {
        applyMessage(1, true, entryAt(1, 9001, 1000), entryAt(2, 9002, 1000));
        HostGroup.Change change = applyMessage(2, complete, entryAt(1, 9001, 1000), entryAt(3, 9001, 2000));
        HostGroup.Host last = change.hosts().get(change.hosts().size() - 1);
        assertEquals("s-00000001", last.name());
        assertEquals(Api.MemberState.GONE, last.member().state());
        assertEquals("", group.zone("s-00000001"), "still in force");
        assertEquals("a", group.zone("s-00000003"));
    }

    /** A late entry of the server that has gone must not remove the one that has its address now. */
    @Test
    void serverKeepsItsAddressWhenAnEarlierOneIsListedThere() {
        applyMessage(1, true, entryAt(3, 9001, 2000));
        HostGroup.Change change = applyMessage(2, false, entryAt(1, 9001, 1000));
        assertEquals("a", group.zone("s-00000003"));
        assertTrue(change.hosts().stream().noneMatch(host -> host.name().equals("s-00000003")));
    }

    /** For an answer that names a server twice, the last entry is in force and no other one is left over. */
    @Test
    void lastEntryOfAServerThatIsListedTwiceIsInForce() {
        HostGroup.Change change = applyMessage(1, true, entry(1, "up"), entry(1, "draining"));
        assertEquals(
                Api.MemberState.DRAINING,
                change.hosts().get(change.hosts().size() - 1).member().state());
        assertEquals(1, applyMessage(2, true).left().size());
    }

    /** Prevents servers from coming back or staying unknown when an agent numbers its versions differently. */
    @Test
    void changesOfAnOlderVersionAreOutdatedAndAWholeListOnlyWhileItsAgentMayBeBehind() {
        applyMessage(7, true, entry(1, "up"));
        for (boolean whole : new boolean[] {false, true}) {
            var older = JsonParser.parseString("{\"generation\":6,\"reset\":" + whole + ",\"instances\":[]}");
            var newer = JsonParser.parseString("{\"generation\":7,\"reset\":" + whole + ",\"instances\":[]}");
            assertTrue(group.isOutdated(older, true));
            assertEquals(!whole, group.isOutdated(older, false));
            assertFalse(group.isOutdated(newer, true));
        }
    }

    /** A list must not end a ban, and a restored server must not count as warm. */
    @Test
    void bannedServerDrainsWhateverTheListSaysAndRestoredServerStartedThen() {
        applyMessage(1, true, entry(1, "up"), entry(2, "up"));
        assertEquals(
                List.of(1L),
                states(group.apply(List.of(new Ban("s-00000001", true, 100, 1))), Api.MemberState.DRAINING));
        assertEquals(
                List.of(),
                group.apply(List.of(new Ban("s-00000001", true, 100, 1))).hosts(),
                "the ban is not new");
        assertEquals(List.of(1L), states(applyMessage(2, false, entry(1, "up")), Api.MemberState.DRAINING));
        assertEquals(
                List.of(1L), states(applyMessage(3, true, entry(1, "up"), entry(2, "up")), Api.MemberState.DRAINING));
        applyMessage(4, false, entry(1, "removed"));
        assertEquals(List.of(1L), states(applyMessage(5, false, entry(1, "up")), Api.MemberState.DRAINING));
        HostGroup.Change back = group.apply(List.of(new Ban("s-00000001", false, 101, 2)));
        assertEquals(List.of(1L), states(back, Api.MemberState.READY));
        assertEquals(101, back.hosts().get(0).member().startedAt());
        assertEquals(
                101,
                applyMessage(6, false, entry(1, "up")).hosts().get(0).member().startedAt(),
                "the list reports an older start");
    }

    @Test
    void serverThatWasNeverListedIsUnknownAndARemovedOneIsKnown() {
        applyMessage(1, true, entry(1, "up"));
        applyMessage(2, false, entry(1, "removed"));
        assertTrue(group.knows("s-00000001"));
        assertFalse(group.knows("s-00000002"));
        group.apply(List.of(new Ban("s-00000002", true, 5, 3)));
        assertTrue(group.knows("s-00000002"), "banned by a process that knew it");
    }

    private static List<Long> states(HostGroup.Change change, Api.MemberState state) {
        return change.hosts().stream()
                .filter(h -> h.member().state() == state)
                .map(h -> h.member().id())
                .toList();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "[]",
                "null",
                "{}",
                "{\"generation\":9,\"reset\":true}",
                "{\"generation\":9,\"reset\":true,\"instances\":[{}]}",
                "{\"generation\":\"x\",\"reset\":true,\"instances\":[]}",
                "{\"generation\":9,\"reset\":true,\"instances\":[{\"instanceId\":\"s-1\",\"lifecycle\":\"odd\"}]}",
                "{\"generation\":9,\"reset\":true,\"instances\":[{\"instanceId\":\"s\",\"lifecycle\":\"up\",\"hostPort\":\"a:1\"}]}"
            })
    void malformedMessageLeavesTheListUnchanged(String message) {
        applyMessage(1, true, entry(1, "up"));
        assertThrows(IllegalArgumentException.class, () -> group.apply(JsonParser.parseString(message)));
        assertEquals(1, group.generation());
        assertEquals(1, applyMessage(2, true).left().size(), "still in the list");
    }
}
