package stagepier.fleet;

/** An operators' file that cannot be taken; the message is one line: file, line, key, and what is wrong. */
public final class InvalidFleetFileException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * @param line counted from 1
     * @param key  with its table, or {@code -} where the fault is in no key
     */
    public InvalidFleetFileException(Object file, int line, String key, String wrong) {
        super((file + ": line " + line + ": key " + key + ": " + wrong).replaceAll("\\s+", " "));
    }
}
