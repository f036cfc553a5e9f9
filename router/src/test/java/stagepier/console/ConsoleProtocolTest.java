package stagepier.console;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class ConsoleProtocolTest {
    private static String refusal(InvalidCommandException e) {
        return ConsoleProtocol.answer(Operations.Result.no(e.getMessage()));
    }

    @Test
    void commandsAreParsedWithSurroundingSpace() throws InvalidCommandException {
        assertEquals(new ConsoleCommand.Status(), ConsoleProtocol.parse("STATUS\r"));
        assertEquals(new ConsoleCommand.Pause(), ConsoleProtocol.parse("  PAUSE "));
        assertEquals(new ConsoleCommand.Resume(), ConsoleProtocol.parse("RESUME"));
        assertEquals(new ConsoleCommand.Suspend("s-5be2a07c"), ConsoleProtocol.parse("SUSPEND \t s-5be2a07c\r"));
        assertEquals(new ConsoleCommand.Restore("other/name"), ConsoleProtocol.parse("RESTORE other/name"));
    }

    @Test
    void invalidCommandIsAnsweredWithOneErrorLine() {
        for (String line : List.of(
                "",
                "\r",
                "status",
                "SUSPEND",
                "SUSPEND a b",
                "PAUSE now",
                "GET / HTTP/1.1",
                "SUSPEND \u0001",
                "RESTORE " + "x".repeat(129))) {
            String answer =
                    refusal(assertThrows(InvalidCommandException.class, () -> ConsoleProtocol.parse(line), line));
            assertTrue(answer.startsWith("ERR ") && answer.indexOf("\r\n") == answer.length() - 2, answer);
        }
    }

    /** Any input is either a command or rejected with an answer of one line. */
    @Property(seed = "31", tries = 500)
    void randomTextIsACommandOrIsRejectedWithOneLine(@ForAll @StringLength(max = 40) String text) {
        try {
            ConsoleProtocol.parse(text);
        } catch (InvalidCommandException e) {
            assertEquals(1, refusal(e).lines().count());
        }
    }
}
