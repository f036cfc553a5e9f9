package stagepier.review;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The cases of the review as tests. Belongs to no module, so that neither CI nor the default test run plays them. */
class CaseTest {
    @Test
    void theRulesHoldInAllCases() throws Exception {
        for (int i = 1; i <= 3; i++) {
            Path script = Path.of("review", String.valueOf(i), "run.sh");
            Process play = new ProcessBuilder(script.toString()).inheritIO().start();
            assertEquals(0, play.waitFor(), script.toString());
        }
    }
}
