package stagepier.console;

import java.util.regex.Pattern;

/**
 * The line protocol of the console: a command and its argument in, a line that begins with {@code OK} or {@code ERR}
 * out. Uses no sockets.
 */
public final class ConsoleProtocol {
    /** Maximum length of a line in bytes, including its end. */
    public static final int MAX_LINE_BYTES = 512;

    private static final String COMMANDS_HELP = "calls are STATUS, SUSPEND ID, RESTORE ID, PAUSE, RESUME";
    private static final Pattern SPACES = Pattern.compile("[ \t]+");
    private static final Pattern SERVER_ID = Pattern.compile("[!-~]{1,128}");

    private ConsoleProtocol() {}

    /**
     * Parses a line.
     *
     * @param line the line without its end
     * @throws InvalidCommandException if it is not a command
     */
    public static ConsoleCommand parse(String line) throws InvalidCommandException {
        String trimmed = line.strip();
        if (trimmed.isEmpty()) {
            throw new InvalidCommandException("empty line; " + COMMANDS_HELP);
        }
        String[] tokens = SPACES.split(trimmed);
        return switch (tokens[0]) {
            case "STATUS" -> withoutArgument(tokens, new ConsoleCommand.Status());
            case "PAUSE" -> withoutArgument(tokens, new ConsoleCommand.Pause());
            case "RESUME" -> withoutArgument(tokens, new ConsoleCommand.Resume());
            case "SUSPEND" -> new ConsoleCommand.Suspend(serverArgument(tokens));
            case "RESTORE" -> new ConsoleCommand.Restore(serverArgument(tokens));
            default -> throw new InvalidCommandException("unknown call; " + COMMANDS_HELP);
        };
    }

    private static ConsoleCommand withoutArgument(String[] tokens, ConsoleCommand command)
            throws InvalidCommandException {
        if (tokens.length > 1) {
            throw new InvalidCommandException(tokens[0] + " takes no argument");
        }
        return command;
    }

    private static String serverArgument(String[] tokens) throws InvalidCommandException {
        if (tokens.length != 2) {
            throw new InvalidCommandException(tokens[0] + " takes the id of one cache server");
        }
        if (!SERVER_ID.matcher(tokens[1]).matches()) {
            throw new InvalidCommandException("that is no id of a cache server");
        }
        return tokens[1];
    }

    /** Formats a result as a line with its end, followed by any further lines. */
    public static String answer(Operations.Result result) {
        StringBuilder answer = new StringBuilder(result.done() ? "OK " : "ERR ")
                .append(result.text())
                .append("\r\n");
        result.more().forEach(line -> answer.append(line).append("\r\n"));
        return answer.toString();
    }
}
