package stagepier.memcache;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import stagepier.overload.MemoryBudget;

/** Parses valid messages cut at random, and random garbage, from fixed seeds. */
class ParserTest {
    private static final String READ = "mg 7f3a9c21e0b4d655 v O9b1f03aa5c7e2d41 Pc=read,t=acme,d=480";
    private static final String WRITE =
            "ms 7f3a9c21e0b4d655 %d O9b1f03aa5c7e2d41 Pc=put,t=acme,d=480,k=5c0f6e1a2b3d4c59";

    private static byte[] value(int length) {
        byte[] value = new byte[length];
        for (int i = 0; i < length; i++) {
            value[i] = (byte) (i % 5 == 0 ? '\r' : i % 5 == 1 ? '\n' : i);
        }
        return value;
    }

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    @Property(seed = "11", tries = 200)
    void commandsAreParsedFromAnyPieces(@ForAll long seed, @ForAll @IntRange(max = Protocol.LARGEST_VALUE) int length)
            throws MalformedException {
        byte[] write = Protocol.withValue(WRITE.formatted(length), value(length));
        byte[] all = join(Protocol.line(READ), write, Protocol.line("mn"), Protocol.line("mg k v"), Protocol.line("x"));
        List<Command> commands = Wire.parse(CommandParser::next, all, seed);
        assertEquals(
                List.of(Command.Kind.GET, Command.Kind.SET, Command.Kind.ALIVE, Command.Kind.BAD, Command.Kind.UNKNOWN),
                commands.stream().map(Command::kind).toList());
        // Forwarded unchanged except for the waiting time.
        assertArrayEquals(
                Protocol.line(READ.replace("480", "77")), commands.get(0).forward(77));
        assertArrayEquals(write, commands.get(1).forward(480));
        assertEquals("put", commands.get(1).attribute("c"));
    }

    /** Returns a parser that moves a streamed value on as it arrives, as a link does, and collects it in one answer. */
    private static Wire.Parser<Answer> streamingParser() {
        AnswerParser parser = new AnswerParser();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        return new Wire.Parser<>() {
            private Answer head;

            @Override
            public Answer next(RingBuffer in) throws MalformedException {
                if (head == null) {
                    head = parser.next(in);
                }
                if (head == null || head.flow() == 0) {
                    Answer whole = head;
                    head = null;
                    return whole;
                }
                RingBuffer moved = new RingBuffer();
                body.writeBytes(moved.copy(0, parser.move(in, moved, 50_000)));
                if (!parser.endsFlow(in)) {
                    return null;
                }
                Answer whole = new Answer(head.kind(), head.id(), body.toByteArray(), head.hit(), 0, head.report());
                body.reset();
                head = null;
                return whole;
            }
        };
    }

    @Property(seed = "12", tries = 200)
    void answersAreParsedFromAnyPieces(@ForAll long seed, @ForAll @IntRange(max = 400_000) int length)
            throws MalformedException {
        byte[] all = join(
                Protocol.withValue("VA " + length + " Oab h0 Z", value(length)),
                Protocol.line("HD Oab cff"),
                Protocol.line("SERVER_ERROR busy 12"),
                Protocol.line("SERVER_ERROR failed"),
                Protocol.line("MN"));
        List<Answer> answers = Wire.parse(streamingParser(), all, seed);
        assertEquals(
                List.of(
                        Answer.Kind.VALUE,
                        Answer.Kind.RECEIPT,
                        Answer.Kind.BUSY,
                        Answer.Kind.FAILED,
                        Answer.Kind.ALIVE),
                answers.stream().map(Answer::kind).toList());
        assertArrayEquals(value(length), answers.get(0).body());
        assertEquals(Answer.Hit.MISS_FETCHING, answers.get(0).hit());
        assertEquals("ff", new String(answers.get(1).body(), StandardCharsets.ISO_8859_1));
    }

    /**
     * Prevents an exhausted heap: collected values are counted, released exactly once, and not counted if the value is
     * not needed.
     */
    @Property(seed = "17", tries = 100)
    void largeValuesTakeSharedMemoryAndReleaseIt(@ForAll long seed, @ForAll @IntRange(min = 1, max = 3) int kind)
            throws MalformedException {
        MemoryBudget budget = new MemoryBudget(75_000);
        byte[] large = Protocol.withValue("VA 60000 Oab h1", value(60_000));
        AnswerParser first = new AnswerParser(budget);
        RingBuffer half = new RingBuffer();
        half.put(java.nio.ByteBuffer.wrap(large, 0, 20_000));
        assertEquals(null, first.next(half));
        assertEquals(60_000, budget.taken());
        AnswerParser second = new AnswerParser(budget);
        if (kind == 1) {
            assertEquals(null, second.next(Wire.ring(Protocol.line("VA 60000 Oab h1"))));
            assertTrue(second.isBlocked());
            first.drop();
            assertEquals(0, budget.taken());
        } else if (kind == 2) {
            Answer passed =
                    Wire.parse(in -> second.next(in, false), large, seed).get(0);
            assertEquals(0, passed.body().length);
            assertEquals(60_000, budget.taken());
        } else {
            // A single value is always granted its memory.
            first.drop();
            AnswerParser small = new AnswerParser(new MemoryBudget(1000));
            assertArrayEquals(
                    value(60_000), Wire.parse(small::next, large, seed).get(0).body());
            assertEquals(0, budget.taken());
        }
    }

    /** A {@link MalformedException} closes the connection; any other exception would end the process. */
    @Property(seed = "13", tries = 2000)
    void garbageIsRejectedWithoutUnexpectedExceptions(
            @ForAll long seed, @ForAll @Size(max = 300) byte[] garbage, @ForAll @IntRange(max = 6) int start) {
        String[] starts = {"", "mg ", "ms k 5 ", "ms k ", "VA 3 ", "HD ", "SERVER_ERROR "};
        byte[] bytes = join(starts[start].getBytes(StandardCharsets.ISO_8859_1), garbage, Protocol.line(""));
        try {
            for (Command command : Wire.parse(CommandParser::next, bytes, seed)) {
                command.attribute("c");
                if (command.kind() == Command.Kind.GET || command.isWrite()) {
                    command.forward(1);
                }
            }
        } catch (MalformedException e) {
            assertEquals(1, e.getMessage().lines().count());
        }
        assertThrows(
                MalformedException.class,
                () -> Wire.parse(new AnswerParser()::next, join(Protocol.line("?"), bytes), seed));
    }

    /** Such input makes a cache server close the connection, or has flags that change which answers arrive. */
    @Property(seed = "15", tries = 1)
    void inputThatACacheServerCannotParseIsNotForwarded() throws MalformedException {
        for (String line : List.of(
                "mg k\u0007 v Oa Pc=c",
                "mg k v Oa Pc=\u0000",
                "mg k v Oa Pc=c\u00e9",
                "mg k v q Oa",
                "mg k v Oa Ob",
                "mg k v v Oa",
                "mg k v Oa Pc=c Pc=d",
                "mg k v O",
                "mg k v O" + "a".repeat(33),
                "mg k 5 v Oa",
                "mg\tk v Oa",
                "mg " + "k".repeat(251) + " v Oa")) {
            Command.Kind kind = Wire.parse(CommandParser::next, Protocol.line(line), 1)
                    .get(0)
                    .kind();
            assertTrue(kind == Command.Kind.BAD || kind == Command.Kind.UNKNOWN, line);
        }
        for (String length : List.of("-1", "x", "70000", "3000000000", "")) {
            byte[] write = Protocol.line("ms k " + length + " Oa Pc=c");
            assertThrows(MalformedException.class, () -> Wire.parse(CommandParser::next, write, 1), length);
        }
    }

    /** Otherwise a large message on each of many links would leave its memory in use. */
    @Property(seed = "16", tries = 1)
    void emptyRingBufferFreesTheMemoryOfALargeMessage() {
        RingBuffer ring = new RingBuffer();
        assertEquals(0, ring.capacity());
        ring.put(new byte[Protocol.LARGEST_VALUE]);
        ring.skip(Protocol.LARGEST_VALUE);
        assertTrue(ring.capacity() < 5000, ring.capacity() + " bytes");
    }

    @Property(seed = "14", tries = 1)
    void oversizedMessagesAreRejected() {
        assertThrows(
                MalformedException.class, () -> Wire.parse(CommandParser::next, new byte[Protocol.LARGEST_LINE], 1));
        assertThrows(
                MalformedException.class,
                () -> Wire.parse(
                        CommandParser::next, Protocol.line("ms k " + (Protocol.LARGEST_VALUE + 1) + " Oa"), 1));
        assertThrows(
                MalformedException.class,
                () -> Wire.parse(
                        new AnswerParser()::next, Protocol.line("VA " + (AnswerParser.LARGEST_VALUE + 1) + " Oa"), 1));
    }
}
