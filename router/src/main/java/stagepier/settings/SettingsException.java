package stagepier.settings;

/** Settings that make no sense: the message names the key, in one line whatever words it quotes. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public SettingsException(String message) {
        super(message.replaceAll("\\s+", " "));
    }
}
