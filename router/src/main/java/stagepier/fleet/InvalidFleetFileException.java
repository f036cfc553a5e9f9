package stagepier.fleet;

/** Thrown when a file maintained by operators is invalid; the message is one line with file, line, key and problem. */
public final class InvalidFleetFileException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * @param line    line number, counted from 1
     * @param key     key with its table, or {@code -} if the error belongs to no key
     * @param problem description of the error
     */
    public InvalidFleetFileException(Object file, int line, String key, String problem) {
        super((file + ": line " + line + ": key " + key + ": " + problem).replaceAll("\\s+", " "));
    }
}
