package stagepier.console;

import java.util.regex.Pattern;

/** The console's line form: a word and its argument in, a line that begins with {@code OK} or {@code ERR} out. No sockets. */
public final class ConsoleProtocol {
    /** Longest line, its end included. */
    public static final int LONGEST = 512;

    private static final String CALLS = "calls are STATUS, SUSPEND ID, RESTORE ID, PAUSE, RESUME";
    private static final Pattern SPACES = Pattern.compile("[ \t]+");
    private static final Pattern SERVER = Pattern.compile("[!-~]{1,128}");

    private ConsoleProtocol() {}

    /**
     * The call in a line.
     *
     * @param line without its end
     * @throws InvalidCommandException where it is none
     */
    public static ConsoleCommand parse(String line) throws InvalidCommandException {
        String trimmed = line.strip();
        if (trimmed.isEmpty()) {
            throw new InvalidCommandException("empty line; " + CALLS);
        }
        String[] words = SPACES.split(trimmed);
        return switch (words[0]) {
            case "STATUS" -> alone(words, new ConsoleCommand.Status());
            case "PAUSE" -> alone(words, new ConsoleCommand.Pause());
            case "RESUME" -> alone(words, new ConsoleCommand.Resume());
            case "SUSPEND" -> new ConsoleCommand.Suspend(server(words));
            case "RESTORE" -> new ConsoleCommand.Restore(server(words));
            default -> throw new InvalidCommandException("unknown call; " + CALLS);
        };
    }

    private static ConsoleCommand alone(String[] words, ConsoleCommand command) throws InvalidCommandException {
        if (words.length > 1) {
            throw new InvalidCommandException(words[0] + " takes no argument");
        }
        return command;
    }

    private static String server(String[] words) throws InvalidCommandException {
        if (words.length != 2) {
            throw new InvalidCommandException(words[0] + " takes the id of one cache server");
        }
        if (!SERVER.matcher(words[1]).matches()) {
            throw new InvalidCommandException("that is no id of a cache server");
        }
        return words[1];
    }

    /** The line for an outcome, with its end, and what follows it. */
    public static String answer(Operations.Result result) {
        StringBuilder answer = new StringBuilder(result.done() ? "OK " : "ERR ")
                .append(result.text())
                .append("\r\n");
        result.more().forEach(line -> answer.append(line).append("\r\n"));
        return answer.toString();
    }
}
