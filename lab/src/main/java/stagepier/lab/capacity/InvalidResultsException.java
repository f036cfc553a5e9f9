package stagepier.lab.capacity;

import java.io.IOException;

/** A results file that makes no sense: file, key, and what is wrong there. */
public final class InvalidResultsException extends IOException {
    private static final long serialVersionUID = 1L;

    public InvalidResultsException(String file, String key, String why) {
        super(file + ": " + (key.isEmpty() ? "" : key + ": ") + why);
    }
}
