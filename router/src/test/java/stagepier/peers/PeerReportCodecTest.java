package stagepier.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stagepier.Api;

class PeerReportCodecTest {
    private static List<Api.ServerReport> randomEntries(SplittableRandom random, int n) {
        List<Api.ServerReport> entries = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            entries.add(new Api.ServerReport(random.nextLong(1L << 32), random.nextInt(128), random.nextBoolean()));
        }
        return entries;
    }

    @Property(seed = "17", tries = 200)
    void plainReportIsDecodedAsEncodedUpToTheMessageSize(@ForAll long seed, @ForAll @IntRange(max = 90) int n) {
        List<Api.ServerReport> entries = randomEntries(new SplittableRandom(seed), n);
        byte[] message = PeerReportCodec.encode(PeerReport.plain(entries));
        assertTrue(message.length <= PeerReportCodec.MAX_BYTES, message.length + " bytes");
        assertEquals(
                entries.subList(0, Math.min(n, PeerReportCodec.MAX_ENTRIES)),
                PeerReportCodec.decode(message).entries());
    }

    /** Routers of this version and the one before have to understand each other. */
    @Test
    void plainReportKeepsItsEncoding() {
        byte[] message = PeerReportCodec.encode(PeerReport.plain(List.of(
                new Api.ServerReport(0xfedcba98L, 2, true),
                new Api.ServerReport(7, 300, false),
                new Api.ServerReport(1L << 32, 1, true))));
        assertEquals("0102fedcba9882000000077f", HexFormat.of().formatHex(message));
        assertEquals(
                PeerReport.plain(
                        List.of(new Api.ServerReport(0xfedcba98L, 2, true), new Api.ServerReport(7, 127, false))),
                PeerReportCodec.decode(message));
    }

    /** Checks the table in docs/many-routers.md. */
    @Test
    void weightedReportHasTheDocumentedEncoding() {
        PeerReport report = new PeerReport(
                5, 4, 19.5, 240, List.of(new Api.ServerReport(7, 3, true), new Api.ServerReport(9, 1, false)));
        byte[] message = PeerReportCodec.encode(report);
        assertEquals(
                "0202" + "05" + "0fa0" + "419c0000" + "00f0" + "0000000783" + "0000000901",
                HexFormat.of().formatHex(message));
        assertEquals(report, PeerReportCodec.decode(message));
        assertEquals(240, report.samplingFactor(), "one server of 240 without an open circuit is named");
    }

    @Property(seed = "20", tries = 200)
    void weightedReportIsDecodedAsEncodedUpToTheMessageSize(@ForAll long seed, @ForAll @IntRange(max = 90) int n) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Api.ServerReport> entries = randomEntries(random, n);
        PeerReport report = new PeerReport(
                random.nextInt(256), random.nextInt(1000, 4001) / 1e3, (float) random.nextDouble(1, 200), 100, entries);
        byte[] message = PeerReportCodec.encode(report);
        assertTrue(message.length <= PeerReportCodec.MAX_BYTES, message.length + " bytes");
        assertEquals(
                new PeerReport(
                        report.zone(),
                        report.window(),
                        report.weight(),
                        100,
                        entries.subList(0, Math.min(n, PeerReportCodec.MAX_ENTRIES_WEIGHTED))),
                PeerReportCodec.decode(message));
    }

    /** A forged weight or window, or a server that occurs twice in one message, makes a message malformed. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "0201" + "05" + "0fa0" + "7fc00000" + "0001" + "0000000783", // NaN
                "0201" + "05" + "0fa0" + "7f800000" + "0001" + "0000000783", // infinite
                "0201" + "05" + "0fa0" + "c0000000" + "0001" + "0000000783", // negative
                "0201" + "05" + "0fa0" + "3f7fffff" + "0001" + "0000000783", // below 1
                "0201" + "05" + "0fa1" + "3f800000" + "0001" + "0000000783", // valid for more than 4 s
                "0201" + "05" + "03e7" + "3f800000" + "0001" + "0000000783", // valid for less than 1 s
                "0201" + "05" + "0fa0" + "3f800000" + "0000" + "0000000701", // has more entries than servers
                "0202" + "05" + "0fa0" + "3f800000" + "0002" + "0000000783" + "0000000783", // same server twice
                "0102" + "0000000783" + "0000000783",
                "0301" + "05" + "0fa0" + "3f800000" + "0001" + "0000000783"
            })
    void impossibleReportIsMalformed(String message) {
        assertThrows(
                IllegalArgumentException.class,
                () -> PeerReportCodec.decode(HexFormat.of().parseHex(message)));
    }

    /** A truncated or foreign datagram must not be applied in part. */
    @Property(seed = "18", tries = 300)
    void truncatedMessageIsMalformed(@ForAll long seed, @ForAll @IntRange(min = 1, max = 50) int n) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] whole = PeerReportCodec.encode(
                random.nextBoolean()
                        ? PeerReport.plain(randomEntries(random, n))
                        : new PeerReport(
                                3,
                                2,
                                1.5,
                                60,
                                randomEntries(random, Math.min(n, PeerReportCodec.MAX_ENTRIES_WEIGHTED))));
        byte[] cut = java.util.Arrays.copyOf(whole, random.nextInt(whole.length));
        assertThrows(IllegalArgumentException.class, () -> PeerReportCodec.decode(cut));
    }

    @Property(seed = "19", tries = 500)
    void randomBytesAreRejectedOrDecoded(@ForAll @Size(max = 300) byte[] garbage) {
        try {
            assertTrue(PeerReportCodec.decode(garbage).entries().size() <= PeerReportCodec.MAX_ENTRIES);
        } catch (IllegalArgumentException expected) {
            assertTrue(expected.getMessage().contains("bytes"));
        }
    }
}
