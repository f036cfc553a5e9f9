package stagepier.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stagepier.settings.SettingsParser;

/** Checks the bytes of the wire format in both directions. */
class AdapterTest {
    private static final String CLASSES = "\"Classes\":[{\"Name\":\"get\",\"Repeat\":\"idempotent\",\"Deadline\":1.0,"
            + "\"GoalTime\":0.5},{\"Name\":\"put\",\"Repeat\":\"at_most_once\",\"Deadline\":1.0}]";
    private static final String SETTINGS = "{" + CLASSES + ",\"Limits\":{\"MaxAttempts\":3,\"MaxRetryAfter\":0.5},"
            + "\"Siblings\":2,\"UnknownKey\":[1,{\"of\":null}]}";

    private static byte[] run(byte[]... batches) throws IOException {
        ByteArrayOutputStream in = new ByteArrayOutputStream();
        for (byte[] batch : batches) {
            in.write(batch);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Adapter(new ByteArrayInputStream(in.toByteArray()), out).run();
        return out.toByteArray();
    }

    /** Returns all replies, each as the list of its actions. */
    static List<List<Action>> replies(byte[]... batches) throws IOException {
        ByteBuffer in = ByteBuffer.wrap(run(batches));
        List<List<Action>> replies = new ArrayList<>();
        while (in.hasRemaining()) {
            int length = in.getInt();
            int count = in.getInt();
            int end = in.position() + length;
            List<Action> actions = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                int code = in.getShort();
                byte[] fields = new byte[in.getInt()];
                in.get(fields);
                actions.add(new Action(code, ByteBuffer.wrap(fields)));
            }
            assertEquals(end, in.position());
            replies.add(actions);
        }
        return replies;
    }

    /** Returns the actions except timers; the module sets one for each read that may turn out late. */
    private static List<Action> answers(List<Action> actions) {
        return actions.stream().filter(a -> a.code() != 1040).toList();
    }

    private static Batch startBatch(double now) {
        return new Batch(now)
                .instanceStart(3, SETTINGS)
                .memberTable(0, 0xf0000001L, 2, 5)
                .discovery(3, 2, 0);
    }

    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
    }

    @Test
    void emptyBatchGetsAnEmptyReply() throws IOException {
        assertEquals("0000000000000000", HexFormat.of().formatHex(run(hex("00000000 00000000 4020d3126e978d50"))));
        assertEquals(0, run().length);
    }

    /** The sample batch of the wire documentation: a request, a timer and a disconnecting client, for two instances. */
    @Test
    void sampleBatchIsParsed() throws IOException {
        byte[] start = new Batch(8.0)
                .instanceStart(3, SETTINGS)
                .instanceStart(5, SETTINGS)
                .memberTable(1, 0x03124a07L)
                .discovery(3, 2, 1)
                .bytes();
        byte[] sample = hex("00000003 00000053 4020d3126e978d50"
                + "044c 0000002d 0003 00005b715d3a91c4 0000 00000000 91f03b7c55d20a64 3fceb851eb851eb8 3f889374bc6a7efa"
                + "00000000 01 03e8 0000000a 0003 000000000000004d 0406 0000000a 0005 000f7fcf0e6f2b19");
        List<List<Action>> replies = replies(start, sample);
        Action send = replies.get(1).get(0);
        assertEquals(1020, send.code());
        assertEquals(3, send.instance());
        assertEquals(0x00005b715d3a91c4L, send.id());
        assertEquals(0x03124a07L, send.server());
        assertEquals(
                List.of(1020, 1040), replies.get(1).stream().map(Action::code).toList());
    }

    @Test
    void sendRecordHasTheWireFormat() throws IOException {
        byte[] out =
                run(startBatch(1).bytes(), new Batch(2).request(3, 0x5b71, 0).bytes());
        String text = HexFormat.of().formatHex(out);
        assertTrue(
                text.startsWith("0000000000000000" + "0000003400000002" + "03fc00000016" + "0003" + "0000000000005b71"),
                text);
    }

    @Test
    void memberTableNumbersAreReusedAndResolveInTheOrderOfEvents() throws IOException {
        byte[] start = new Batch(1)
                .instanceStart(1, SETTINGS)
                .instanceStart(2, SETTINGS)
                .memberTable(0, 11)
                .discovery(1, 2, 0)
                .memberTable(0, 22)
                .discovery(2, 2, 0)
                .request(1, 100, 0)
                .request(2, 200, 0)
                .bytes();
        List<Action> actions = answers(replies(start).get(0));
        assertEquals(11, actions.get(0).server());
        assertEquals(22, actions.get(1).server());
    }

    @Test
    void instanceMayBeStoppedAndStartedWithinOneBatch() throws IOException {
        byte[] again = new Batch(2)
                .instanceStop(3)
                .instanceStart(3, SETTINGS)
                .memberTable(4, 9)
                .discovery(3, 2, 4)
                .request(3, 8, 0)
                .bytes();
        List<Action> actions =
                answers(replies(startBatch(1).request(3, 7, 0).bytes(), again).get(1));
        assertEquals(1, actions.size());
        assertEquals(9, actions.get(0).server());
    }

    @Test
    void failedDiscoveryKeepsTheServerList() throws IOException {
        List<Action> actions = replies(
                        startBatch(1).discovery(3, 3, 99).request(3, 8, 0).bytes())
                .get(0);
        assertEquals(1020, actions.get(0).code());
    }

    @Test
    void everyOutcomeIsAcceptedAndAnswered() throws IOException {
        for (int outcome = 1; outcome <= 8; outcome++) {
            List<List<Action>> replies = replies(startBatch(1).request(3, 8, 1).bytes());
            long server = replies.get(0).get(0).server();
            List<Action> after = replies(
                            startBatch(1).request(3, 8, 1).bytes(),
                            new Batch(1.01)
                                    .response(3, 8, 0, server, outcome, false)
                                    .bytes())
                    .get(1);
            boolean neverRan = outcome == 2 || outcome == 4 || outcome == 7;
            if (outcome != 8) {
                assertEquals(neverRan ? 1020 : 1030, after.get(0).code(), "outcome " + outcome);
            }
        }
    }

    @Test
    void moduleFaultIsReportedAndTheReplyStaysComplete() throws IOException {
        List<List<Action>> replies =
                replies(startBatch(1).request(3, 8, 17).request(3, 9, 0).bytes());
        Action fault = replies.get(0).get(0);
        assertEquals(1090, fault.code());
        String text = new String(fault.fields().array(), 4, fault.fields().capacity() - 4, StandardCharsets.UTF_8);
        assertTrue(text.contains("IndexOutOfBounds"), text);
        assertEquals(1020, replies.get(0).get(1).code());
    }

    @Test
    void batchesOfSeveralMegabytesAreParsed() throws IOException {
        Batch big = new Batch(2);
        for (int i = 0; i < 40_000; i++) {
            big.request(3, 1000 + i, 0);
        }
        assertTrue(big.bytes().length > 2_000_000);
        assertEquals(
                40_000,
                answers(replies(startBatch(1).bytes(), big.bytes()).get(1)).size());
    }

    private static String errorMessage(byte[]... batches) {
        return assertThrows(WireException.class, () -> run(batches)).getMessage();
    }

    @Test
    void malformedInputIsReportedWithItsCause() {
        byte[] whole = startBatch(1).bytes();
        assertTrue(errorMessage(java.util.Arrays.copyOf(whole, 9)).contains("inside the header"));
        assertTrue(
                errorMessage(java.util.Arrays.copyOf(whole, whole.length - 1)).contains("input ends after"));
        assertTrue(errorMessage(hex("00000001 00000002 0000000000000000 0001")).contains("ends before it"));
        assertTrue(errorMessage(hex("00000001 00000008 0000000000000000 0424 00000009 0003"))
                .contains("exceeds"));
        assertTrue(errorMessage(hex("00000000 00000001 0000000000000000 00")).contains("after the last record"));
        assertTrue(errorMessage(hex("ffffffff 00000000 0000000000000000")).contains("out of range"));
        assertTrue(errorMessage(hex("00000000 00000000 7ff8000000000000")).contains("clock"));
        assertTrue(errorMessage(
                        whole, new Batch(2).record(1234, o -> o.writeShort(3)).bytes())
                .contains("code 1234"));
        assertTrue(errorMessage(new Batch(2).instanceStop(9).bytes()).contains("instance 9 is not running"));
        assertTrue(errorMessage(
                        whole,
                        new Batch(2).record(1060, o -> o.writeInt(3 << 16)).bytes())
                .contains("too many"));
        assertTrue(errorMessage(
                        whole, new Batch(2).record(1000, o -> o.writeShort(3)).bytes())
                .contains("ends inside a field"));
        assertTrue(errorMessage(whole, new Batch(2).discovery(3, 0, 7).bytes()).contains("never sent"));
        assertTrue(errorMessage(whole, new Batch(2).discovery(3, 9, 0).bytes()).contains("mode 9"));
        assertTrue(
                errorMessage(whole, new Batch(2).response(3, 1, 0, 2, 33, false).bytes())
                        .contains("outcome 33"));
        assertTrue(errorMessage(new Batch(2).memberTable(16).bytes()).contains("out of range"));
        assertTrue(errorMessage(new Batch(2)
                        .record(1010, o -> {
                            o.writeInt(0);
                            o.writeInt(1 << 30);
                        })
                        .bytes())
                .contains("does not fit"));
        assertTrue(errorMessage(
                        whole,
                        new Batch(2)
                                .record(1060, o -> o.writeShort(3))
                                .record(1060, o -> o.writeShort(3))
                                .bytes())
                .contains("record 1"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "nonsense{",
                "[]",
                "{}",
                "{\"Classes\":[]}",
                "{\"Classes\":3}",
                "{\"Classes\":[{\"Repeat\":\"sometimes\",\"Deadline\":1}]}",
                "{\"Classes\":[{\"Repeat\":\"idempotent\"}]}",
                "{\"Classes\":[{\"Repeat\":\"idempotent\",\"Deadline\":0}]}",
                "{\"Classes\":[{\"Repeat\":\"idempotent\",\"Deadline\":\"soon\"}]}",
                "{\"FamilyInfo\":{\"Mode\":\"aside\"},\"Classes\":[{\"Repeat\":\"idempotent\",\"Deadline\":1}]}"
            })
    void invalidSettingsAreRejectedWithAOneLineMessage(String settings) {
        String message = errorMessage(new Batch(1).instanceStart(1, settings).bytes());
        assertTrue(message.contains("settings"), message);
        assertTrue(message.lines().count() == 1, message);
    }

    @Test
    void absentSettingsHaveTheirDocumentedDefaults() {
        var s = SettingsParser.parse("{" + CLASSES + "}").settings();
        assertEquals(1, s.balancers());
        assertEquals(0.5, s.classes().get(0).target());
        assertEquals(1.0, s.classes().get(1).target(), "without a GoalTime, the deadline is the target");
        assertEquals(stagepier.Api.WeightMeaning.NONE, s.weights());
        assertEquals(stagepier.Api.Fetching.THROUGH, s.fetching());
        assertTrue(s.tenants().isEmpty());
    }
}
