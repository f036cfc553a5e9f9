package stagepier.review;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The cases of the second review as tests. Belongs to no module, so that neither CI nor the default test run plays them. */
class SecondCaseTest {
    private static final int FIRST = 6;
    private static final int LAST = 10;

    @Test
    void theRulesHoldInAllCasesOfTheSecondReview() throws Exception {
        for (int i = FIRST; i <= LAST; i++) {
            Path script = Path.of("review", String.valueOf(i), "run.sh");
            Process play = new ProcessBuilder(script.toString()).inheritIO().start();
            assertEquals(0, play.waitFor(), script.toString());
        }
    }
}
