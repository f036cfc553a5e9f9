package stagepier.settings;

/** Thrown for invalid settings; the message names the key and is a single line, whatever text it quotes. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public SettingsException(String message) {
        super(message.replaceAll("\\s+", " "));
    }
}
