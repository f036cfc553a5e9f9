package stagepier.lab.scale.saturation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import stagepier.lab.scale.saturation.AnswerReader.Answer;
import stagepier.lab.scale.saturation.AnswerReader.Kind;

class AnswerReaderTest {
    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private static Answer read(String text) {
        return new AnswerReader().read(bytes(text));
    }

    @Test
    void eachKindOfAnswerIsToldApart() {
        assertEquals(new Answer(Kind.VALUE, 5, 0), read("VA 5 O1 h1\r\nhe\r\no\r\n"));
        assertEquals(new Answer(Kind.VALUE, 0, 0), read("VA 0 O1 h1\r\n\r\n"));
        assertEquals(new Answer(Kind.REFUSED, 0, 0), read("SERVER_ERROR busy\r\n"));
        assertEquals(new Answer(Kind.REFUSED, 0, 120), read("SERVER_ERROR busy 120\r\n"));
        assertEquals(new Answer(Kind.FAILED, 0, 0), read("SERVER_ERROR failed\r\n"));
        assertEquals(new Answer(Kind.FAILED, 0, 0), read("EN\r\n"));
    }

    @Test
    void anAnswerIsTheSameHoweverItIsCut() {
        String text = "VA 5 O1 h1\r\nhello\r\n";
        for (int cut = 1; cut < text.length(); cut++) {
            AnswerReader reader = new AnswerReader();
            assertNull(reader.read(bytes(text.substring(0, cut))), "cut at " + cut);
            assertEquals(new Answer(Kind.VALUE, 5, 0), reader.read(bytes(text.substring(cut))), "cut at " + cut);
        }
    }

    @Test
    void oneReaderReadsOneAnswerAfterTheOther() {
        AnswerReader reader = new AnswerReader();
        ByteBuf both = bytes("VA 1 O1 h1\r\nx\r\nSERVER_ERROR busy 7\r\n");
        assertEquals(new Answer(Kind.VALUE, 1, 0), reader.read(both));
        assertEquals(new Answer(Kind.REFUSED, 0, 7), reader.read(both));
        assertNull(reader.read(both));
    }

    @Test
    void aLineWithoutAnEndIsNoAnswer() {
        assertThrows(IllegalStateException.class, () -> read("x".repeat(9000)));
    }
}
