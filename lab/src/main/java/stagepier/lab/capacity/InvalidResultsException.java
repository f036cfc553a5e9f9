package stagepier.lab.capacity;

import java.io.IOException;

/** A results file that makes no sense: file, key, and what is wrong there. */
public final class BadResultsException extends IOException {
    private static final long serialVersionUID = 1L;

    public BadResultsException(String file, String key, String why) {
        super(file + ": " + (key.isEmpty() ? "" : key + ": ") + why);
    }
}
