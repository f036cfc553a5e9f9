package stagepier.shadow;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/**
 * Reads {@code candidate.toml} and the same format as it is sent between routers. Parsing is strict: an unknown key is
 * an error.
 */
public final class CandidateFile {
    /**
     * Limits on the number of servers and the characters of the canonical text: a map has to fit into one message
     * between routers.
     */
    static final int MAX_SERVERS = 512;

    static final int MAX_TEXT_LENGTH = 32_000;

    private static final String NAME = "[A-Za-z0-9._:-]{1,64}";
    private static final String NAME_DESCRIPTION = "1 to 64 letters, digits, dots, colons, dashes";
    private static final String PREFIX = "[!#-\\[\\]-~]{1,250}";
    private static final String PREFIX_DESCRIPTION =
            "beginnings of keys: 1 to 250 visible characters without quote and backslash";

    /** The action that operators request for the candidate. */
    public enum DesiredState {
        TRY,
        PROMOTE,
        BACK
    }

    /**
     * The content of a file. The requested action is not part of the map, so changing it does not create a different
     * candidate.
     */
    public record Parsed(CandidateMap map, DesiredState desiredState) {}

    private CandidateFile() {}

    public static Parsed read(Path file) throws IOException, CandidateException {
        return parse(file.toString(), Files.readString(file));
    }

    /** @param file name of the file in error messages */
    public static Parsed parse(String file, String text) throws CandidateException {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            throw new CandidateException(
                    toml.errors().stream().map(e -> syntax(file, e)).toList());
        }
        List<String> errors = new ArrayList<>();
        Parsed read = read(new CandidateTable(file, "", 1, toml, errors));
        if (errors.isEmpty() && read.map().text().length() > MAX_TEXT_LENGTH) {
            errors.add(file + ": line 1: key servers: the map has more than " + MAX_TEXT_LENGTH + " characters");
        }
        if (!errors.isEmpty()) {
            throw new CandidateException(errors);
        }
        return read;
    }

    private static String syntax(String file, TomlParseError e) {
        return file + ": line " + e.position().line() + ": key (none): "
                + e.getMessage().lines().findFirst().orElse("no TOML");
    }

    private static Parsed read(CandidateTable root) {
        long version = root.integer("version", Double.NaN, 1, 1_000_000_000);
        String salt = root.string("salt", "shadow", NAME, NAME_DESCRIPTION);
        int nodes = (int) root.integer("virtual_nodes", 100, 1, 1000);
        int slice = (int) root.integer("slice", Double.NaN, 1, Slice.POSITIONS);
        List<String> classes = root.strings("classes", true, NAME, "names of classes");
        List<String> prefixes = root.strings("prefixes", false, PREFIX, PREFIX_DESCRIPTION);
        CandidateTable budget = root.table("budget");
        double copies = budget.number("copies_per_second", Double.NaN, 0.1, 100_000);
        double fetches = budget.number("fetches_per_second", Double.NaN, 0.01, 10_000);
        budget.rejectUnknownKeys();
        CandidateTable verdict = root.table("verdict");
        double margin = verdict.number("margin", 0.02, 0.001, 0.5);
        verdict.rejectUnknownKeys();
        CandidateTable promotion = root.table("promotion");
        List<Integer> steps = promotion.ascending("steps", List.of(100, 1000, 3000, Slice.POSITIONS), Slice.POSITIONS);
        double stepSeconds = promotion.number("step_s", 60, 1, 86_400);
        double backSeconds = promotion.number("back_step_s", 10, 0, 86_400);
        String desiredState = promotion.string("wish", "try", "try|promote|back", "try, promote or back");
        promotion.rejectUnknownKeys();
        TreeMap<String, Double> servers = servers(root);
        root.rejectUnknownKeys();
        CandidateMap map = new CandidateMap(
                version,
                salt,
                nodes,
                servers,
                classes,
                prefixes,
                slice,
                copies,
                fetches,
                margin,
                steps,
                stepSeconds,
                backSeconds);
        return new Parsed(
                map,
                desiredState.isEmpty()
                        ? DesiredState.TRY
                        : DesiredState.valueOf(desiredState.toUpperCase(Locale.ROOT)));
    }

    private static TreeMap<String, Double> servers(CandidateTable root) {
        TreeMap<String, Double> servers = new TreeMap<>();
        List<CandidateTable> tables = root.tables("servers");
        if (tables.isEmpty()) {
            root.error("servers", "is missing or empty");
        } else if (tables.size() > MAX_SERVERS) {
            root.error("servers", "holds more than " + MAX_SERVERS);
        }
        for (CandidateTable t : tables) {
            String name = t.string("name", null, NAME, NAME_DESCRIPTION);
            if (servers.put(name, t.number("weight", 1, 0.01, 8)) != null) {
                t.error("name", name + " is there twice");
            }
            t.rejectUnknownKeys();
        }
        return servers;
    }
}
