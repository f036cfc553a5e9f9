package stagepier.shadow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@Timeout(20)
class CandidateFileTest {
    static final String GOOD = """
            version = 3
            slice = 200
            classes = ["read"]
            prefixes = ["user:", "a"]
            [budget]
            copies_per_second = 100
            fetches_per_second = 4.5
            [promotion]
            steps = [100, 10000]
            step_s = 30
            [[servers]]
            name = "s-00000002"
            weight = 2
            [[servers]]
            name = "s-00000001"
            """;

    static CandidateMap good() {
        try {
            return CandidateFile.parse("candidate.toml", GOOD).map();
        } catch (CandidateException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void canonicalTextParsesToTheSameMap() throws CandidateException {
        CandidateMap map = good();
        CandidateMap again = CandidateFile.parse("x", map.text()).map();
        assertEquals(map, again);
        assertEquals(map.id(), again.id());
        assertEquals(List.of("a", "user:"), map.prefixes());
        assertTrue(map.covers("read", "user:7") && !map.covers("read", "b") && !map.covers("put", "a"));
    }

    @Test
    void desiredStateDoesNotChangeTheCandidateId() throws CandidateException {
        CandidateFile.Parsed read = CandidateFile.parse("x", GOOD.replace("step_s", "wish = \"promote\"\nstep_s"));
        assertEquals(CandidateFile.DesiredState.PROMOTE, read.desiredState());
        assertEquals(good().id(), read.map().id());
    }

    /** Two maps have the same version: all routers choose the same one, in whichever order they receive them. */
    @Test
    void oneOfTwoMapsWithTheSameVersionTakesPrecedence() throws CandidateException {
        CandidateMap a = good();
        CandidateMap b = CandidateFile.parse("x", GOOD.replace("slice = 200", "slice = 300"))
                .map();
        assertTrue(a.replaces(b) != b.replaces(a));
        assertFalse(a.replaces(a));
        CandidateMap newer = CandidateFile.parse("x", GOOD.replace("version = 3", "version = 4"))
                .map();
        assertTrue(newer.replaces(a) && newer.replaces(b) && !a.replaces(newer));
    }

    /**
     * Per case: the text of the valid file that is replaced, its replacement, and the beginning of the expected error
     * line.
     */
    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            version = 3|version = 0|f: line 1: key version: must lie between 1.0 and 1000000000.0
            version = 3|version = 1.5|f: line 1: key version: must be a whole number
            version = 3|version = "3"|f: line 1: key version: must be a number
            version = 3|#|f: line 1: key version: is missing
            version = 3|version = |f: line 1: key (none): Unexpected end of line, expected ', ", ''', \""", a number,
            slice = 200|slice = 10001|f: line 2: key slice: must lie between 1.0 and 10000.0
            slice = 200|slice = 0|f: line 2: key slice: must lie between 1.0 and 10000.0
            slice = 200|slice = true|f: line 2: key slice: must be a number
            slice = 200|slise = 200|f: line 2: key slise: is not known
            slice = 200|salt = ""|f: line 2: key salt: must be 1 to 64 letters, digits, dots, colons, dashes
            slice = 200|virtual_nodes = 1001|f: line 2: key virtual_nodes: must lie between 1.0 and 1000.0
            classes = ["read"]|classes = []|f: line 3: key classes: must not be empty
            classes = ["read"]|classes = "read"|f: line 3: key classes: must be an array
            classes = ["read"]|classes = ["read", "read"]|f: line 3: key classes: holds read twice
            classes = ["read"]|classes = [1]|f: line 3: key classes: must hold names of classes
            classes = ["read"]|#|f: line 1: key classes: is missing
            prefixes = ["user:", "a"]|prefixes = [""]|f: line 4: key prefixes: must hold beginnings of keys: 1 to 250
            prefixes = ["user:", "a"]|prefixes = ["a b"]|f: line 4: key prefixes: must hold beginnings of keys: 1 to 2
            copies_per_second = 100|copies_per_second = -1|f: line 6: key budget.copies_per_second: must lie between 0
            copies_per_second = 100|copies_per_second = nan|f: line 6: key budget.copies_per_second: must lie between
            copies_per_second = 100|copies = 100|f: line 6: key budget.copies: is not known
            fetches_per_second = 4.5|fetches_per_second = inf|f: line 7: key budget.fetches_per_second: must lie betwe
            fetches_per_second = 4.5|#|f: line 5: key budget.fetches_per_second: is missing
            [budget]|[[budget]]|f: line 5: key budget: must be a table
            steps = [100, 10000]|steps = [100, 100, 10000]|f: line 9: key promotion.steps: must hold whole numbers abo
            steps = [100, 10000]|steps = [100]|f: line 9: key promotion.steps: must be an array that ends with 10000
            steps = [100, 10000]|steps = 100|f: line 9: key promotion.steps: must be an array that ends with 10000
            steps = [100, 10000]|steps = ["1"]|f: line 9: key promotion.steps: must hold whole numbers above 0, each l
            step_s = 30|step_s = 0|f: line 10: key promotion.step_s: must lie between 1.0 and 86400.0
            step_s = 30|back_step_s = -1|f: line 10: key promotion.back_step_s: must lie between 0.0 and 86400.0
            step_s = 30|wish = "now"|f: line 10: key promotion.wish: must be try, promote or back
            step_s = 30|wait_s = 30|f: line 10: key promotion.wait_s: is not known
            name = "s-00000002"|name = "s-00000001"|f: line 15: key servers[1].name: s-00000001 is there twice
            name = "s-00000002"|name = "a b"|f: line 12: key servers[0].name: must be 1 to 64 letters, digits, dots, c
            name = "s-00000002"|name = 2|f: line 12: key servers[0].name: must be 1 to 64 letters, digits, dots, colon
            name = "s-00000002"|#|f: line 11: key servers[0].name: is missing
            weight = 2|weight = 9|f: line 13: key servers[0].weight: must lie between 0.01 and 8.0
            weight = 2|weight = "2"|f: line 13: key servers[0].weight: must be a number
            weight = 2|zone = "a"|f: line 13: key servers[0].zone: is not known
            weight = 2|margin = 1|f: line 13: key servers[0].margin: is not known
            """)
    void invalidFileIsRejectedWithOneLine(String good, String bad, String line) {
        assertTrue(GOOD.contains(good));
        CandidateException e = assertThrows(
                CandidateException.class,
                () -> CandidateFile.parse("f", GOOD.replaceFirst(java.util.regex.Pattern.quote(good), bad)));
        assertTrue(e.lines().stream().anyMatch(l -> l.startsWith(line)), () -> e.lines() + " without " + line);
        assertTrue(e.lines().stream()
                .allMatch(l -> l.startsWith("f: line ")
                        && l.contains(": key ")
                        && l.lines().count() == 1));
    }

    @Test
    void mapWithoutServersOrTooLongForAMessageIsRejected() {
        CandidateException none = assertThrows(
                CandidateException.class,
                () -> CandidateFile.parse("f", GOOD.substring(0, GOOD.indexOf("[[servers]]"))));
        assertEquals(List.of("f: line 1: key servers: is missing or empty"), none.lines());
        StringBuilder many = new StringBuilder(GOOD);
        for (int i = 0; i < 400; i++) {
            many.append("[[servers]]\nname = \"")
                    .append("x".repeat(60))
                    .append(i)
                    .append("\"\n");
        }
        CandidateException longer =
                assertThrows(CandidateException.class, () -> CandidateFile.parse("f", many.toString()));
        assertEquals(List.of("f: line 1: key servers: the map has more than 32000 characters"), longer.lines());
    }
}
