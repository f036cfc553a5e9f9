package stagepier.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stagepier.lab.scale.Conversation;
import stagepier.lab.scale.Figure;
import stagepier.lab.scale.Sample;

class CapacityPageTest {
    private static final Path PAGE = Path.of("../docs/CAPACITY.md");
    private static final String GOOD = """
            # A page

            | figure | measured slope | at 1,900 | part | passes it |
            | --- | --- | --- | --- | --- |
            | bytes | 200 B/s <!-- slope: r.json LOAD_REPORTS BYTES_IN --> x N | 380.1 KB/s \
            <!-- figure: r.json LOAD_REPORTS BYTES_IN 1900 --> | 5,430% <!-- used: r.json LOAD_REPORTS BYTES_IN 1900 --> | below the smallest measured \
            <!-- passes: r.json LOAD_REPORTS BYTES_IN --> |
            | processor | 0.00002 cores <!-- slope: r.json PROCESS PROCESSOR --> | 38 ms \
            <!-- fit: r.json PROCESS PROCESSOR 1900 --> \
            | 200% <!-- used: r.json PROCESS PROCESSOR 1900 --> | at 951 <!-- passes: r.json PROCESS PROCESSOR --> |
            | threads | not measured yet <!-- pending: slope PROCESS THREADS --> | none | - | - |

            Load reports take 380 KB/s <!-- figure: r.json LOAD_REPORTS BYTES_IN 1900 -->, linear <!-- growth: r.json \
            LOAD_REPORTS BYTES_IN -->; 842 requests are worked out.
            """;

    @TempDir
    private Path folder;

    private List<Sample> samples;

    @BeforeEach
    void results() throws Exception {
        samples = new ArrayList<>(SyntheticSamples.of(
                Conversation.LOAD_REPORTS, Figure.BYTES_IN, SyntheticSamples.SIZES, n -> 100 + 200.0 * n, 0, 1));
        List<Integer> until800 = SyntheticSamples.SIZES.subList(0, 5);
        samples.addAll(
                SyntheticSamples.of(Conversation.PROCESS, Figure.PROCESSOR, until800, n -> 2e-5 * n - 1e-5, 0, 1));
        Files.writeString(folder.resolve("r.json"), SyntheticSamples.json(samples, ""));
    }

    private List<String> findings(String text) throws Exception {
        return CapacityPage.findings(Files.writeString(folder.resolve("page.md"), text));
    }

    /** The page itself. */
    @Test
    void eachFigureOfTheCapacityPageStandsInItsResultsFile() throws Exception {
        assertEquals(List.of(), CapacityPage.findings(PAGE));
    }

    @Test
    void aPageThatIsRightHasNoFindings() throws Exception {
        assertEquals(List.of(), findings(GOOD));
        assertEquals(10, CapacityPage.marked(folder.resolve("page.md")));
    }

    /** One wrong digit, of each kind of figure, is found with its line. */
    @Test
    void aWrongFigureIsFound() throws Exception {
        assertEquals(
                List.of("page.md:5: the page says 380,200, r.json says 380,100: r.json LOAD_REPORTS BYTES_IN 1900"),
                findings(GOOD.replace("380.1 KB/s", "380.2 KB/s")));
        assertEquals(
                List.of("page.md:9: the page says 381,000, r.json says 380,100: r.json LOAD_REPORTS BYTES_IN 1900"),
                findings(GOOD.replace(" 380 KB/s", " 381 KB/s")));
        for (String[] wrong : new String[][] {
            {"200 B/s", "201 B/s"},
            {"5,430%", "5,431%"},
            {"38 ms", "39 ms"},
            {"at 951", "at 950"},
            {"0.00002", "0.00003"},
            {"below the smallest measured", "never"},
            {", linear", ", quadratic"},
            {"380.1 KB/s", "380.1 MB/s"},
            {"380.1 KB/s", "381 B/s"}
        }) {
            assertEquals(1, findings(GOOD.replace(wrong[0], wrong[1])).size(), wrong[1]);
        }
    }

    @Test
    void aFileThatIsNotThereIsFound() throws Exception {
        assertEquals(
                List.of("page.md:9: no such results file: s.json"),
                findings(GOOD.replace("take 380 KB/s <!-- figure: r.json", "take 380 KB/s <!-- figure: s.json")));
        assertEquals(
                List.of("page.md:9: figure mark needs FILE CONVERSATION FIGURE SIZE, not: LOAD_REPORTS BYTES_IN 1900"),
                findings(GOOD.replace("take 380 KB/s <!-- figure: r.json", "take 380 KB/s <!-- figure:")));
    }

    @Test
    void aMeasuredCellWithoutAFileIsFound() throws Exception {
        String noMark = "'200 B/s x N' is said to be measured and names no results file";
        assertEquals(
                List.of("page.md:5: " + noMark),
                findings(GOOD.replace("200 B/s <!-- slope: r.json LOAD_REPORTS BYTES_IN --> x N", "200 B/s x N")));
        assertEquals(
                List.of("page.md:7: '12 (measured)' is said to be measured and names no results file"),
                findings(GOOD.replace("| none |", "| 12 (measured) |")));
    }

    @Test
    void whatIsNotMeasuredYetHoldsNoNumber() throws Exception {
        assertEquals(
                2,
                findings(GOOD.replace("not measured yet <!-- pending", "27 <!-- pending"))
                        .size());
        assertEquals(
                List.of("page.md:7: 'not measured yet' does not say what will stand there"),
                findings(GOOD.replace("not measured yet <!-- pending: slope PROCESS THREADS -->", "not measured yet")));
    }

    @Test
    void aSizeThatWasNotPlayedIsNoMeasuredFigure() throws Exception {
        assertEquals(
                List.of("page.md:6: r.json holds no figure of PROCESS PROCESSOR 1900"),
                findings(GOOD.replace(
                        "<!-- fit: r.json PROCESS PROCESSOR 1900", "<!-- figure: r.json PROCESS PROCESSOR 1900")));
        assertEquals(
                1,
                findings(GOOD.replace("PROCESSOR 1900 --> | 200%", "PROCESSOR many --> | 200%"))
                        .size());
        assertEquals(
                1,
                findings(GOOD.replace("951 <!-- passes:", "951 <!-- passed:")).size());
    }

    @Test
    void runsThatDidNotKeepTheirPaceHaveToBeNamed() throws Exception {
        Files.writeString(folder.resolve("r.json"), SyntheticSamples.json(samples, "\"late\""));
        assertEquals(1, findings(GOOD).size());
        assertEquals(List.of(), findings(GOOD + "\nOne run in r.json was not valid.\n"));
    }

    /** What the page says to be worked out is what the sizes of the fleet give. */
    @Test
    void workedOutFiguresAreThoseOfTheArithmetic() throws Exception {
        String page = Files.readString(PAGE);
        double routers = 1900;
        double servers = 240;
        double requests = 1.6e6;
        double bits = 11e12;
        double answer = bits / 8 / requests;
        double listBytes = servers * 150;
        double budget = ControlBudget.BYTES.limit();
        double told = 1 / 0.27;
        List<String> expected = List.of(
                "1,600,000 / 1,900 = %.1f".formatted(requests / routers),
                "11e12 / 1,900 = %.3fe9 bit/s".formatted(bits / routers / 1e9),
                "11e12 / 8 / 1.6e6 = %,.0f B".formatted(answer),
                "1.6e6 / 240 = %,.0f".formatted(requests / servers),
                "11e12 / 240 = %.2fe9 bit/s".formatted(bits / servers / 1e9),
                "2.1e9 / 240 = %,.0f".formatted(2.1e9 / servers),
                "%.1f TB if an object".formatted(2.1e9 / servers * answer / 1e12),
                "1,900 / 75 = %.1f".formatted(routers / 75),
                "18,000 / 1,900 = %.1f".formatted(servers * 75 / routers),
                "19 x 1,900 = %,.0f".formatted(19 * routers),
                "19 x 100 = %,d B/s, %.0f%%".formatted(19 * 100, 100 * 19 * 100 / budget),
                "19 x 180 = %,d B/s, %.0f%%".formatted(19 * 180, 100 * 19 * 180 / budget),
                "240 x 150 = %,.0f B; 36,000 / 7,000 = %.2f s".formatted(listBytes, listBytes / budget),
                "4 s hold %,.0f B, which is %d servers".formatted(4 * budget, (int) (4 * budget / 150)),
                "%.0f to %.0f KB/s (1,899".formatted((routers - 1) * told * 55 / 1e3, (routers - 1) * told * 130 / 1e3),
                "| %.0f to %.0f times |"
                        .formatted((routers - 1) * told * 55 / budget, (routers - 1) * told * 130 / budget),
                "from %.0f to %.0f routers on".formatted(Math.ceil(budget / told / 130), Math.ceil(budget / told / 55)),
                "| %,.0f/s (1,899".formatted((routers - 1) * told),
                "| %.0f a second (1,900 / 2.75 s)".formatted(routers / 2.75),
                "68.4 MB (1,900 x 36 KB); in 4 s %.1f MB/s, %.0f Mbit/s"
                        .formatted(routers * listBytes / 4 / 1e6, routers * listBytes / 4 * 8 / 1e6),
                "one each %.0f s (86,400 / 2,200), %.0f deliveries a second"
                        .formatted(86400 / 2200.0, 2200 * routers / 86400),
                "%.1f million objects (2.1e9 / 37), %,.0f requests a second".formatted(2.1e9 / 37 / 1e6, requests / 37),
                "%.0f changes (2,200 / 24) and %,d purges".formatted(2200 / 24.0, 19 * 3600),
                "6.84e6 / 7,000 = %.0f s), %.0f MB"
                        .formatted(19 * 3600 * 100 / budget, 19 * 3600 * 100 * routers / 16 / 1e6));
        for (String text : expected) {
            assertTrue(page.contains(text), text);
        }
    }

    /** The page speaks of every number of the fleet's size. */
    @Test
    void noNumberOfTheFleetIsLeftOut() throws Exception {
        String page = Files.readString(PAGE);
        for (String number : List.of(
                "1,900 routers",
                "92 sites",
                "240 cache servers",
                "16 regions",
                "37 zones",
                "1.6 million requests",
                "11 Tbit/s",
                "2.1 billion objects",
                "19 purges",
                "1.4 s",
                "2,200 changes",
                "4 s",
                "1.9% of a core",
                "256 MB",
                "7 KB",
                "10 machines",
                "3 machines",
                "310 ",
                "rack or switch",
                "every other month",
                "an hour")) {
            assertTrue(page.contains(number), number);
        }
    }
}
