package stagepier.lab.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the capacity page against the results files that it names. Beside each number that was measured stands a mark:
 *
 * <pre>
 * 12.3 KB/s &lt;!-- figure: FILE CONVERSATION FIGURE SIZE --&gt;   median of a size that was played
 * 45.6 KB/s &lt;!-- fit: FILE CONVERSATION FIGURE SIZE --&gt;      read off the fit
 * 65% &lt;!-- used: FILE CONVERSATION FIGURE SIZE --&gt;           part of the budget
 * 203 B/s &lt;!-- slope: FILE CONVERSATION FIGURE --&gt;           coefficient of the fastest term
 * 34 &lt;!-- passes: FILE CONVERSATION FIGURE --&gt;               size at which the budget is passed, or never
 * linear &lt;!-- growth: FILE CONVERSATION FIGURE --&gt;           the model
 * not measured yet &lt;!-- pending: WHAT WILL STAND HERE --&gt;
 * </pre>
 *
 * FILE is one file or several with commas, named from the page's folder.
 */
public final class CapacityPage {
    private static final String NOT_YET = "not measured yet";
    private static final String MEASURED = "measured";
    private static final Pattern COMMENT = Pattern.compile("<!--\\s*(.*?)\\s*-->");
    private static final Pattern MARK = Pattern.compile("(\\w+):\\s*(.*)");
    private static final String PENDING = "pending";
    private static final Pattern RULE = Pattern.compile("\\|(?:\\s*:?-+:?\\s*\\|)+\\s*");
    private static final int WORDS_WITHOUT_SIZE = 3;

    private final Path page;
    private final List<String> findings = new ArrayList<>();
    /** Files that call themselves invalid and of which that has been looked for already. */
    private final Set<Path> told = new HashSet<>();

    private List<String> lines = List.of();

    private CapacityPage(Path page) {
        this.page = page;
    }

    /** All that is wrong with a page, a line each; empty where nothing is. */
    public static List<String> findings(Path page) throws IOException {
        CapacityPage check = new CapacityPage(page);
        check.lines = Files.readAllLines(page);
        check.all();
        return check.findings;
    }

    /** How many numbers a page marks as coming from results files. */
    public static long marked(Path page) throws IOException {
        return Files.readAllLines(page).stream()
                .flatMap(line -> COMMENT.matcher(line).results())
                .filter(comment -> kind(comment.group(1)).isPresent())
                .count();
    }

    private void all() {
        List<String> header = List.of();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            boolean isHeader =
                    i + 1 < lines.size() && RULE.matcher(lines.get(i + 1)).matches();
            if (isHeader) {
                header = cells(line);
            } else if (!line.startsWith("|")) {
                header = List.of();
            } else if (!RULE.matcher(line).matches()) {
                row(i, header, cells(line));
            }
            marks(i, line);
        }
    }

    /** Guards against a number that is called measured and names no file. */
    private void row(int line, List<String> header, List<String> cells) {
        for (int c = 0; c < cells.size(); c++) {
            String cell = cells.get(c);
            boolean isMarked = COMMENT.matcher(cell)
                    .results()
                    .anyMatch(comment -> kind(comment.group(1)).isPresent());
            String words = COMMENT.matcher(cell).replaceAll("");
            boolean isOfMeasured = c < header.size() && header.get(c).contains(MEASURED);
            boolean holdsNumber = words.chars().anyMatch(Character::isDigit);
            boolean saysMeasured = words.replace(NOT_YET, "").contains(MEASURED);
            if (!isMarked && (isOfMeasured && holdsNumber || saysMeasured && holdsNumber)) {
                finding(line, "'" + words.strip() + "' is said to be measured and names no results file");
            }
            if (words.contains(NOT_YET) && !cell.contains("<!-- " + PENDING + ":")) {
                finding(line, "'" + NOT_YET + "' does not say what will stand there");
            }
        }
    }

    private void marks(int line, String text) {
        Matcher comment = COMMENT.matcher(text);
        while (comment.find()) {
            String before = text.substring(0, comment.start());
            Matcher mark = MARK.matcher(comment.group(1));
            if (!mark.matches()) {
                finding(line, "no mark: " + comment.group(1));
            } else if (mark.group(1).equals(PENDING)) {
                pending(line, before, mark.group(2));
            } else if (kind(comment.group(1)).isEmpty()) {
                finding(line, "unknown mark: " + mark.group(1));
            } else {
                number(line, before, kind(comment.group(1)).get(), mark.group(2).split("\\s+"));
            }
        }
    }

    private void pending(int line, String before, String what) {
        if (!before.stripTrailing().endsWith(NOT_YET)) {
            finding(line, "pending mark after something else than '" + NOT_YET + "': " + what);
        }
        if (what.isBlank()) {
            finding(line, "pending mark that does not say what will stand there");
        }
    }

    private void number(int line, String before, MarkKind kind, String[] words) {
        if (words.length != WORDS_WITHOUT_SIZE + (kind.hasSize() ? 1 : 0)) {
            finding(
                    line,
                    kind.word() + " mark needs FILE CONVERSATION FIGURE" + (kind.hasSize() ? " SIZE" : "") + ", not: "
                            + String.join(" ", words));
            return;
        }
        try {
            int size = kind.hasSize() ? Integer.parseInt(words[WORDS_WITHOUT_SIZE]) : CapacityReport.FLEET_ROUTERS;
            List<ResultsFile> files = files(line, words[0]);
            if (!files.isEmpty()) {
                Optional<CapacityRow> row = CapacityReport.of(files, size).row(words[1], words[2]);
                compare(line, before, kind, words, row, size);
            }
        } catch (NumberFormatException e) {
            finding(line, "no size: " + words[WORDS_WITHOUT_SIZE]);
        } catch (IOException e) {
            finding(line, "cannot be read: " + e.getMessage());
        }
    }

    /** The files that a mark names; none where one is not there. */
    private List<ResultsFile> files(int line, String names) throws IOException {
        List<ResultsFile> files = new ArrayList<>();
        for (String name : names.split(",")) {
            Path file = page.toAbsolutePath().getParent().resolve(name);
            if (!Files.isRegularFile(file)) {
                finding(line, "no such results file: " + name);
                return List.of();
            }
            ResultsFile results = ResultsReader.read(file);
            files.add(results);
            if (!results.invalid().isEmpty()
                    && told.add(file)
                    && lines.stream().noneMatch(l -> l.contains(name) && l.contains("not valid"))) {
                finding(
                        line,
                        name + " holds runs that call themselves invalid, and the page does not say 'not valid' of "
                                + "it");
            }
        }
        return files;
    }

    private void compare(int line, String before, MarkKind kind, String[] words, Optional<CapacityRow> row, int size) {
        String what = String.join(" ", Arrays.copyOfRange(words, 1, words.length));
        Optional<String> said = row.flatMap(kind::words);
        Optional<Double> value = row.flatMap(r -> kind.value(r, size));
        Optional<PrintedNumber> printed = PrintedNumber.atEndOf(before);
        if (said.isPresent()) {
            if (!before.stripTrailing().endsWith(" " + said.get())) {
                finding(line, words[0] + " says '" + said.get() + "': " + kind.word() + " of " + what);
            }
        } else if (value.isEmpty()) {
            finding(line, words[0] + " holds no " + kind.word() + " of " + what);
        } else if (printed.isEmpty()) {
            finding(line, kind.word() + " mark after no number: " + String.join(" ", words));
        } else if (!printed.get().is(value.get())) {
            finding(
                    line,
                    "the page says %s, %s says %s: %s"
                            .formatted(
                                    NumberText.number(printed.get().value()
                                            * printed.get().factor()),
                                    words[0],
                                    NumberText.number(value.get()),
                                    String.join(" ", words)));
        }
    }

    private static Optional<MarkKind> kind(String comment) {
        return Arrays.stream(MarkKind.values())
                .filter(kind -> comment.startsWith(kind.word() + ":"))
                .findFirst();
    }

    private static List<String> cells(String line) {
        String inner = line.strip().replaceAll("^\\||\\|$", "");
        return Arrays.stream(inner.split("\\|", -1)).map(String::strip).toList();
    }

    private void finding(int line, String what) {
        findings.add(page.getFileName() + ":" + (line + 1) + ": " + what);
    }
}
