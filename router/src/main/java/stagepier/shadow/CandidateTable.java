package stagepier.shadow;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * A table of {@code candidate.toml} that is read key by key. Errors are collected with file, line and key, and reading
 * continues, so that all errors are reported at once.
 */
final class CandidateTable {
    private final String file;
    private final String path;
    private final int line;
    private final TomlTable table;
    private final List<String> errors;
    private final Set<String> knownKeys = new HashSet<>();

    CandidateTable(String file, String path, int line, TomlTable table, List<String> errors) {
        this.file = file;
        this.path = path;
        this.line = line;
        this.table = table;
        this.errors = errors;
    }

    private Object get(String key) {
        knownKeys.add(key);
        return table == null ? null : table.get(List.of(key));
    }

    private int lineOf(String key) {
        TomlPosition at = table == null ? null : table.inputPositionOf(List.of(key));
        return at == null ? line : at.line();
    }

    void error(String key, String reason) {
        errors.add(file + ": line " + lineOf(key) + ": key " + path + key + ": " + reason);
    }

    /** Returns the table under a key, or an empty one if the key is missing. */
    CandidateTable table(String key) {
        Object value = get(key);
        if (value != null && !(value instanceof TomlTable)) {
            error(key, "must be a table");
        }
        return new CandidateTable(file, path + key + ".", lineOf(key), value instanceof TomlTable t ? t : null, errors);
    }

    /** Returns the tables of an array of tables. */
    List<CandidateTable> tables(String key) {
        Object value = get(key);
        List<CandidateTable> values = new ArrayList<>();
        if (value instanceof TomlArray array && array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            for (int i = 0; i < array.size(); i++) {
                values.add(new CandidateTable(
                        file,
                        path + key + "[" + i + "].",
                        array.inputPositionOf(i).line(),
                        array.getTable(i),
                        errors));
            }
        } else if (value != null) {
            error(key, "must be an array of tables");
        }
        return values;
    }

    /** @param defaultValue value if the key is missing; NaN if the key is required */
    double number(String key, double defaultValue, double min, double max) {
        Object value = get(key);
        if (value == null && !Double.isNaN(defaultValue)) {
            return defaultValue;
        }
        if (!(value instanceof Number n)) {
            error(key, value == null ? "is missing" : "must be a number");
            return min;
        }
        // The condition is negated so that NaN is rejected as well.
        if (!(n.doubleValue() >= min && n.doubleValue() <= max)) {
            error(key, "must lie between " + CandidateMap.number(min) + " and " + CandidateMap.number(max));
            return min;
        }
        return n.doubleValue();
    }

    long integer(String key, double defaultValue, long min, long max) {
        if (get(key) instanceof Double) {
            error(key, "must be a whole number");
            return min;
        }
        return (long) number(key, defaultValue, min, max);
    }

    /** Returns a string that matches the pattern. */
    String string(String key, String defaultValue, String pattern, String description) {
        Object value = get(key);
        if (value == null && defaultValue != null) {
            return defaultValue;
        }
        if (!(value instanceof String s) || !s.matches(pattern)) {
            error(key, value == null ? "is missing" : "must be " + description);
            return "";
        }
        return s;
    }

    /** Returns distinct strings that match the pattern. */
    List<String> strings(String key, boolean required, String pattern, String description) {
        Object value = get(key);
        List<String> values = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (Object o : array.toList()) {
                if (!(o instanceof String s) || !s.matches(pattern)) {
                    error(key, "must hold " + description);
                    return values;
                }
                if (values.contains(s)) {
                    error(key, "holds " + s + " twice");
                }
                values.add(s);
            }
        } else if (value != null) {
            error(key, "must be an array");
        }
        if (required && values.isEmpty()) {
            error(key, value == null ? "is missing" : "must not be empty");
        }
        return values;
    }

    /** Returns strictly ascending whole numbers, the last of which is {@code max}. */
    List<Integer> ascending(String key, List<Integer> defaultValue, int max) {
        Object value = get(key);
        if (value == null) {
            return defaultValue;
        }
        List<Integer> values = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (Object o : array.toList()) {
                int last = values.isEmpty() ? 0 : values.get(values.size() - 1);
                if (!(o instanceof Long n) || n <= last || n > max) {
                    error(key, "must hold whole numbers above 0, each larger than the one before, up to " + max);
                    return defaultValue;
                }
                values.add(n.intValue());
            }
        }
        if (values.isEmpty() || values.get(values.size() - 1) != max) {
            error(key, "must be an array that ends with " + max);
            return defaultValue;
        }
        return values;
    }

    /** Rejects unknown keys: a misspelt optional key would otherwise be ignored silently. */
    void rejectUnknownKeys() {
        if (table != null) {
            table.keySet().stream().filter(k -> !knownKeys.contains(k)).forEach(k -> error(k, "is not known"));
        }
    }
}
