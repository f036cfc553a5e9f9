package stagepier.shadow;

import java.util.List;

/** Reports an invalid candidate map, with one line for each error: file, line, key and reason. */
public final class CandidateException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<String> lines;

    CandidateException(List<String> lines) {
        super(String.join("\n", lines));
        this.lines = List.copyOf(lines);
    }

    public List<String> lines() {
        return lines;
    }
}
