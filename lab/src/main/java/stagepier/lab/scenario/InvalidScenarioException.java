package stagepier.lab.scenario;

import java.util.List;

/** A scenario file that makes no sense; all that is wrong with it, a line each. */
public final class InvalidScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    public InvalidScenarioException(List<String> errors) {
        super(String.join(System.lineSeparator(), errors));
    }
}
