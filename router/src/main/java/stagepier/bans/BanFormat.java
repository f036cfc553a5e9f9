package stagepier.bans;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The text of a decision in a file: one line, the same in all releases. */
final class BanFormat {
    private static final Pattern LINE =
            Pattern.compile("stagepier ban 1 (out|back) ([0-9]{1,12}\\.[0-9]{6}) ([!-~]{1,128})\n");
    private static final int MAX_FILE_BYTES = 256;

    private BanFormat() {}

    static String text(Ban ban) {
        return String.format(
                Locale.ROOT, "stagepier ban 1 %s %.6f %s\n", ban.out() ? "out" : "back", ban.since(), ban.server());
    }

    /**
     * Reads the decision in a file.
     *
     * @return null if the file holds something else
     * @throws java.nio.file.NoSuchFileException if there is no such file
     */
    static Ban read(Path file, long version) throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            return null;
        }
        Matcher line = LINE.matcher(Files.readString(file, StandardCharsets.ISO_8859_1));
        return line.matches()
                ? new Ban(line.group(3), line.group(1).equals("out"), Double.parseDouble(line.group(2)), version)
                : null;
    }
}
