package stagepier.console;

import java.util.List;

/** Executes console commands. Returns at once; an operation that takes long is only started. On the event loop. */
@FunctionalInterface
public interface Operations {
    /**
     * The result of a command.
     *
     * @param done whether the command took effect; for a query, whether the answer is yes
     * @param text one line for the operator
     * @param more lines that follow it; usually none
     */
    record Result(boolean done, String text, List<String> more) {
        public Result(boolean done, String text) {
            this(done, text, List.of());
        }

        public static Result yes(String text) {
            return new Result(true, text);
        }

        public static Result no(String text) {
            return new Result(false, text);
        }

        public Result with(List<String> lines) {
            return new Result(done, text, List.copyOf(lines));
        }
    }

    Result call(ConsoleCommand command);
}
