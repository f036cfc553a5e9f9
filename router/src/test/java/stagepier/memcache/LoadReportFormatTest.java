package stagepier.memcache;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stagepier.overload.MemoryBudget;

/** Checks load reports at the end of an answer's first line: valid ones are read, and no report affects the answer. */
class LoadReportFormatTest {
    private static final float[] NONE = {};

    private final LoadReportFormat format = new LoadReportFormat(List.of("inflight", "queue", "x1"));

    private List<Answer> parse(String text, long seed) throws MalformedException {
        AnswerParser parser = new AnswerParser(new MemoryBudget(1 << 20), format);
        return Wire.parse(parser::next, text.getBytes(StandardCharsets.ISO_8859_1), seed);
    }

    /** Parses an answer with a report, checks the rest of the answer and returns the report. */
    private float[] report(String word) throws MalformedException {
        List<Answer> answers = parse("VA 2 Oa h1 " + word + "\r\nhi\r\n", 1);
        assertEquals(1, answers.size());
        assertEquals("hi", new String(answers.get(0).body(), StandardCharsets.ISO_8859_1));
        assertEquals(Answer.Hit.HIT, answers.get(0).hit());
        return answers.get(0).report();
    }

    @Test
    void fieldsAreReturnedInTheOrderOfTheSettings() throws MalformedException {
        assertArrayEquals(new float[] {7, 2, 0.5f}, report("Linflight=7,queue=2,x1=0.5"));
        assertArrayEquals(new float[] {7, 2, 0.5f}, report("Lx1=0.5,queue=2,inflight=7"));
        assertEquals(2, format.received());
        assertEquals(0, format.malformed());
    }

    @Test
    void fieldsThatTheSettingsDoNotNameAreSkipped() throws MalformedException {
        assertArrayEquals(new float[] {7, 2, 1e-5f}, report("Lutil=0.61,inflight=7,queue=2,x1=1e-05,note=none"));
        assertEquals(0, format.malformed());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "L",
                "Linflight",
                "Linflight=7",
                "Linflight=7,queue=2",
                "Linflight=7,queue=2,x1=",
                "Linflight=7,queue=2,x1=0.5,",
                "Linflight=7,queue=2,x1=0.5,queue=3",
                "Linflight=-1,queue=2,x1=0.5",
                "Linflight=NaN,queue=2,x1=0.5",
                "Linflight=Infinity,queue=2,x1=0.5",
                "Linflight=1e99,queue=2,x1=0.5",
                "Linflight=0x10,queue=2,x1=0.5",
                "Linflight=7f,queue=2,x1=0.5",
                "Linflight=1e,queue=2,x1=0.5",
                "Linflight=0000000000000000000000007,queue=2,x1=0.5",
                "L=7,queue=2,x1=0.5",
                "Linflight=7;queue=2;x1=0.5",
                "L{\"inflight\":7}"
            })
    void malformedReportIsCountedAndTheAnswerRemainsValid(String word) throws MalformedException {
        assertArrayEquals(NONE, report(word));
        assertEquals(1, format.malformed());
        assertEquals(0, format.received());
    }

    @Test
    void answerWithoutReportIsNotCountedAsMalformed() throws MalformedException {
        assertArrayEquals(NONE, parse("VA 2 Oa h1\r\nhi\r\n", 1).get(0).report());
        assertArrayEquals(NONE, parse("VA 2 Oa\r\nhi\r\n", 1).get(0).report());
        assertArrayEquals(NONE, parse("MN\r\n", 1).get(0).report());
        assertEquals(0, format.malformed());
    }

    @Test
    void anyKindOfAnswerMayContainAReport() throws MalformedException {
        String report = " Linflight=7,queue=2,x1=0";
        for (String line : List.of("HD Oa cLOT", "SERVER_ERROR busy", "SERVER_ERROR failed", "MN")) {
            Answer answer = parse(line + report + "\r\n", 1).get(0);
            assertArrayEquals(new float[] {7, 2, 0}, answer.report(), line);
        }
        assertEquals("LOT", new String(parse("HD Oa cLOT\r\n", 1).get(0).body(), StandardCharsets.ISO_8859_1));
    }

    @Test
    void valueThatLooksLikeAReportIsNotParsedAsReport() throws MalformedException {
        String value = "Linflight=9,queue=9,x1=9";
        Answer answer =
                parse("VA " + value.length() + " Oa h0\r\n" + value + "\r\n", 1).get(0);
        assertEquals(value, new String(answer.body(), StandardCharsets.ISO_8859_1));
        assertArrayEquals(NONE, answer.report());
        assertEquals(0, format.received());
    }

    @Test
    void reportIsIgnoredIfTheSettingsNameNoFields() throws MalformedException {
        LoadReportFormat none = new LoadReportFormat(List.of());
        AnswerParser parser = new AnswerParser(new MemoryBudget(1 << 20), none);
        byte[] text = "VA 2 Oa Lspoilt=\r\nhi\r\n".getBytes(StandardCharsets.ISO_8859_1);
        assertArrayEquals(NONE, Wire.parse(parser::next, text, 1).get(0).report());
        assertEquals(0, none.malformed());
    }

    /** Prevents parsing of a report before the last byte of its line has arrived. */
    @Property(seed = "17", tries = 300)
    void lineCutAnywhereIsParsedWhole(@ForAll long seed) throws MalformedException {
        String first = "VA 2 Oa h1 Linflight=17,queue=12,x1=10\r\nhi\r\n";
        String second = "SERVER_ERROR busy Linflight=1,queue=2,x1=3\r\n";
        List<Answer> answers = parse(first + second, seed);
        assertEquals(2, answers.size());
        assertArrayEquals(new float[] {17, 12, 10}, answers.get(0).report());
        assertArrayEquals(new float[] {1, 2, 3}, answers.get(1).report());
        assertEquals(0, format.malformed());
    }

    @Test
    void overlongLineWithReportIsMalformed() {
        String endless = "VA 2 Oa h1 L" + "x".repeat(Protocol.LARGEST_LINE);
        assertThrows(MalformedException.class, () -> parse(endless, 1));
    }
}
