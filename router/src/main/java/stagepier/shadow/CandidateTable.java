package stagepier.shadow;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * A table of {@code candidate.toml} that is read key by key. What is wrong is noted with file, line and key, and reading goes on,
 * so that all of it is told at once.
 */
final class CandidateTable {
    private final String file;
    private final String path;
    private final int line;
    private final TomlTable table;
    private final List<String> errors;
    private final Set<String> known = new HashSet<>();

    CandidateTable(String file, String path, int line, TomlTable table, List<String> errors) {
        this.file = file;
        this.path = path;
        this.line = line;
        this.table = table;
        this.errors = errors;
    }

    private Object get(String key) {
        known.add(key);
        return table == null ? null : table.get(List.of(key));
    }

    private int lineOf(String key) {
        TomlPosition at = table == null ? null : table.inputPositionOf(List.of(key));
        return at == null ? line : at.line();
    }

    void error(String key, String what) {
        errors.add(file + ": line " + lineOf(key) + ": key " + path + key + ": " + what);
    }

    /** A table below this one; an empty one where there is none. */
    CandidateTable sub(String key) {
        Object value = get(key);
        if (value != null && !(value instanceof TomlTable)) {
            error(key, "must be a table");
        }
        return new CandidateTable(file, path + key + ".", lineOf(key), value instanceof TomlTable t ? t : null, errors);
    }

    /** The tables of an array of tables. */
    List<CandidateTable> subs(String key) {
        Object value = get(key);
        List<CandidateTable> all = new ArrayList<>();
        if (value instanceof TomlArray array && array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            for (int i = 0; i < array.size(); i++) {
                all.add(new CandidateTable(
                        file,
                        path + key + "[" + i + "].",
                        array.inputPositionOf(i).line(),
                        array.getTable(i),
                        errors));
            }
        } else if (value != null) {
            error(key, "must be an array of tables");
        }
        return all;
    }

    /** @param absent where the key is not there; NaN where it has to be */
    double number(String key, double absent, double least, double most) {
        Object value = get(key);
        if (value == null && !Double.isNaN(absent)) {
            return absent;
        }
        if (!(value instanceof Number n)) {
            error(key, value == null ? "is missing" : "must be a number");
            return least;
        }
        // Written so that a NaN is refused as well.
        if (!(n.doubleValue() >= least && n.doubleValue() <= most)) {
            error(key, "must lie between " + CandidateMap.number(least) + " and " + CandidateMap.number(most));
            return least;
        }
        return n.doubleValue();
    }

    long whole(String key, double absent, long least, long most) {
        if (get(key) instanceof Double) {
            error(key, "must be a whole number");
            return least;
        }
        return (long) number(key, absent, least, most);
    }

    /** A text of the stated form. */
    String word(String key, String absent, String form, String said) {
        Object value = get(key);
        if (value == null && absent != null) {
            return absent;
        }
        if (!(value instanceof String s) || !s.matches(form)) {
            error(key, value == null ? "is missing" : "must be " + said);
            return "";
        }
        return s;
    }

    /** Texts of the stated form, none twice. */
    List<String> words(String key, boolean needed, String form, String said) {
        Object value = get(key);
        List<String> all = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (Object o : array.toList()) {
                if (!(o instanceof String s) || !s.matches(form)) {
                    error(key, "must hold " + said);
                    return all;
                }
                if (all.contains(s)) {
                    error(key, "holds " + s + " twice");
                }
                all.add(s);
            }
        } else if (value != null) {
            error(key, "must be an array");
        }
        if (needed && all.isEmpty()) {
            error(key, value == null ? "is missing" : "must not be empty");
        }
        return all;
    }

    /** Whole numbers, each larger than the one before, the last one {@code most}. */
    List<Integer> rising(String key, List<Integer> absent, int most) {
        Object value = get(key);
        if (value == null) {
            return absent;
        }
        List<Integer> all = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (Object o : array.toList()) {
                int last = all.isEmpty() ? 0 : all.get(all.size() - 1);
                if (!(o instanceof Long n) || n <= last || n > most) {
                    error(key, "must hold whole numbers above 0, each larger than the one before, up to " + most);
                    return absent;
                }
                all.add(n.intValue());
            }
        }
        if (all.isEmpty() || all.get(all.size() - 1) != most) {
            error(key, "must be an array that ends with " + most);
            return absent;
        }
        return all;
    }

    /** Guards against a key with a slip of the pen, which would be as if it were not there. */
    void end() {
        if (table != null) {
            table.keySet().stream().filter(k -> !known.contains(k)).forEach(k -> error(k, "is not known"));
        }
    }
}
