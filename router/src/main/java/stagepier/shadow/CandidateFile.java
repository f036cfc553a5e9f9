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

/** Reads {@code candidate.toml}, and the same form as it travels between routers. Strict: a key that is not known is refused. */
public final class CandidateFile {
    /** Servers, and characters of the canonical text: a map has to fit into one message between routers. */
    static final int SERVERS_MOST = 512;

    static final int TEXT_MOST = 32_000;

    private static final String NAME = "[A-Za-z0-9._:-]{1,64}";
    private static final String NAME_SAID = "1 to 64 letters, digits, dots, colons, dashes";
    private static final String PREFIX = "[!#-\\[\\]-~]{1,250}";
    private static final String PREFIX_SAID =
            "beginnings of keys: 1 to 250 visible characters without quote and backslash";

    /** What staff want done with the candidate. */
    public enum DesiredState {
        TRY,
        PROMOTE,
        BACK
    }

    /** A file: the wish is no part of the map, so that it does not make another candidate of it. */
    public record Read(CandidateMap map, DesiredState wish) {}

    private CandidateFile() {}

    public static Read read(Path file) throws IOException, CandidateException {
        return parse(file.toString(), Files.readString(file));
    }

    /** @param file for messages */
    public static Read parse(String file, String text) throws CandidateException {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            throw new CandidateException(
                    toml.errors().stream().map(e -> syntax(file, e)).toList());
        }
        List<String> errors = new ArrayList<>();
        Read read = read(new CandidateTable(file, "", 1, toml, errors));
        if (errors.isEmpty() && read.map().text().length() > TEXT_MOST) {
            errors.add(file + ": line 1: key servers: the map has more than " + TEXT_MOST + " characters");
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

    private static Read read(CandidateTable root) {
        long version = root.whole("version", Double.NaN, 1, 1_000_000_000);
        String salt = root.word("salt", "shadow", NAME, NAME_SAID);
        int nodes = (int) root.whole("virtual_nodes", 100, 1, 1000);
        int slice = (int) root.whole("slice", Double.NaN, 1, Slice.WHOLE);
        List<String> classes = root.words("classes", true, NAME, "names of classes");
        List<String> prefixes = root.words("prefixes", false, PREFIX, PREFIX_SAID);
        CandidateTable budget = root.sub("budget");
        double copies = budget.number("copies_per_second", Double.NaN, 0.1, 100_000);
        double fetches = budget.number("fetches_per_second", Double.NaN, 0.01, 10_000);
        budget.end();
        CandidateTable verdict = root.sub("verdict");
        double margin = verdict.number("margin", 0.02, 0.001, 0.5);
        verdict.end();
        CandidateTable promotion = root.sub("promotion");
        List<Integer> steps = promotion.rising("steps", List.of(100, 1000, 3000, Slice.WHOLE), Slice.WHOLE);
        double stepSeconds = promotion.number("step_s", 60, 1, 86_400);
        double backSeconds = promotion.number("back_step_s", 10, 0, 86_400);
        String wish = promotion.word("wish", "try", "try|promote|back", "try, promote or back");
        promotion.end();
        TreeMap<String, Double> servers = servers(root);
        root.end();
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
        return new Read(map, wish.isEmpty() ? DesiredState.TRY : DesiredState.valueOf(wish.toUpperCase(Locale.ROOT)));
    }

    private static TreeMap<String, Double> servers(CandidateTable root) {
        TreeMap<String, Double> servers = new TreeMap<>();
        List<CandidateTable> tables = root.subs("servers");
        if (tables.isEmpty()) {
            root.error("servers", "is missing or empty");
        } else if (tables.size() > SERVERS_MOST) {
            root.error("servers", "holds more than " + SERVERS_MOST);
        }
        for (CandidateTable t : tables) {
            String name = t.word("name", null, NAME, NAME_SAID);
            if (servers.put(name, t.number("weight", 1, 0.01, 8)) != null) {
                t.error("name", name + " is there twice");
            }
            t.end();
        }
        return servers;
    }
}
