package stagepier.shadow;

import java.util.List;

/** A candidate map that makes no sense; one line for each thing that is wrong: file, line, key, what. */
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
