package stagepier.console;

import java.util.List;

/** Does what the console is asked to, at once; what takes long is begun. On the event loop. */
@FunctionalInterface
public interface Operations {
    /**
     * The outcome of a call.
     *
     * @param done whether it holds from now on; for a question, whether the answer is yes
     * @param text in plain words, one line
     * @param more lines that follow it; mostly none
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
