package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/** The program and its deploy file must not be fitted to one deployment: they contain none of its names. */
class DeploymentNamesTest {
    private static final Path ROOT = Path.of("..");
    /** Names from deployments whose site files are not in this repository. */
    private static final Set<String> OTHER_DEPLOYMENTS = Set.of(
            "fantasy-cairo",
            "squad-view",
            "player-stats",
            "transfer",
            "league-cache",
            "std-3",
            "slow-3",
            "cairo-nasr",
            "giza-west",
            "alex-east",
            "assiut",
            "national-open",
            "cairo-clubs",
            "alex-clubs",
            "delta-league",
            "upper-egypt",
            "universities",
            "canal-cities",
            "youth-league",
            "staff-league",
            "ledger-south",
            "invoice-read",
            "verify-mark",
            "invoice-cache",
            "single-core",
            "hall-a",
            "hall-b",
            "hall-c",
            "hall-d",
            "hall-e",
            "regina-auctions",
            "lot-view",
            "bid-place",
            "lot-cache",
            "standard",
            "older",
            "regina",
            "saskatoon");

    private static List<TomlTable> tables(TomlTable in, String key) {
        TomlArray array = in.getArrayOrEmpty(key);
        return Stream.iterate(0, i -> i < array.size(), i -> i + 1)
                .map(array::getTable)
                .toList();
    }

    private static Set<String> names(Path site) throws IOException {
        TomlParseResult toml = Toml.parse(site);
        assertEquals(List.of(), toml.errors(), site.toString());
        Set<String> names = new TreeSet<>(List.of(toml.getString("name")));
        tables(toml, "class").forEach(t -> names.add(t.getString("name")));
        tables(toml, "tenant").forEach(t -> names.add(t.getString("name")));
        for (TomlTable tier : tables(toml, "tier")) {
            names.add(tier.getString("name"));
            tables(tier, "kind").forEach(t -> names.add(t.getString("name")));
        }
        toml.getArrayOrEmpty("net.zones").toList().forEach(zone -> names.add((String) zone));
        return names;
    }

    private static Set<String> allNames() throws IOException {
        Set<String> names = new TreeSet<>(OTHER_DEPLOYMENTS);
        try (Stream<Path> files = Files.walk(ROOT.resolve("deploy/sites"))) {
            for (Path site : files.filter(f -> f.toString().endsWith(".toml")).toList()) {
                names.addAll(names(site));
            }
        }
        return names;
    }

    /**
     * Returns a pattern that matches a name as a whole word: anywhere if it is hyphenated, otherwise only within a
     * string, since single words also occur in comments and code.
     */
    private static Pattern pattern(String name) {
        String word = "(?<![\\w-])" + Pattern.quote(name) + "(?![\\w-])";
        return Pattern.compile(name.contains("-") ? word : "\"[^\"\n]*" + word + "[^\"\n]*\"");
    }

    private static List<String> found(Path file, Set<String> names) throws IOException {
        String text = Files.readString(file);
        return names.stream()
                .filter(name -> pattern(name).matcher(text).find())
                .map(name -> file.getFileName() + ": " + name)
                .toList();
    }

    @Test
    void programAndDeployFileContainNoDeploymentName() throws IOException {
        Set<String> names = allNames();
        List<String> found = new ArrayList<>(found(ROOT.resolve("deploy/balancer.toml"), names));
        try (Stream<Path> files = Files.walk(Path.of("src/main"))) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                found.addAll(found(file, names));
            }
        }
        assertEquals(List.of(), found);
    }

    /** Ensures that the check above does not search for an empty or wrong set of names. */
    @Test
    void namesOfTheSiteFilesAreRead() throws IOException {
        Set<String> names = allNames();
        assertTrue(
                names.containsAll(Set.of(
                        "press-oslo",
                        "article-list",
                        "oslo-2",
                        "blade-old",
                        "page-cache",
                        "credit-tartu",
                        "score",
                        "bank-2",
                        "annelinn",
                        "vm")),
                names.toString());
        assertTrue(pattern("bank").matcher("x(\"a bank, b\")").find());
        assertTrue(pattern("bank-2").matcher("// for bank-2 only").find());
        assertTrue(!pattern("bank").matcher("x(\"bank-2\", \"banks\")").find());
    }
}
