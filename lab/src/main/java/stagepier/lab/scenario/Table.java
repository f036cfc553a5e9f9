package stagepier.lab.scenario;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * A table of a scenario file that is read key by key. What is wrong is noted with file, line and key, and reading goes
 * on, so that all errors are told at once.
 */
final class Table {
    private final String file;
    private final String path;
    private final TomlTable table;
    private final List<String> errors;
    private final Set<String> known = new HashSet<>();

    Table(String file, String path, TomlTable table, List<String> errors) {
        this.file = file;
        this.path = path;
        this.table = table;
        this.errors = errors;
    }

    /** A table below this one; an empty one where there is none. */
    Table sub(String key) {
        known.add(key);
        Object value = table == null ? null : table.get(List.of(key));
        if (value != null && !(value instanceof TomlTable)) {
            error(key, "must be a table");
        }
        return new Table(file, path + key + ".", value instanceof TomlTable t ? t : null, errors);
    }

    /** The tables of an array of tables. */
    List<Table> subs(String key) {
        known.add(key);
        List<Table> all = new ArrayList<>();
        Object value = table == null ? null : table.get(List.of(key));
        if (value instanceof TomlArray array && array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            for (int i = 0; i < array.size(); i++) {
                all.add(new Table(file, path + key + "[" + i + "].", array.getTable(i), errors));
            }
        } else if (value != null) {
            error(key, "must be an array of tables");
        }
        return all;
    }

    double number(String key, double absent, double least, double most) {
        known.add(key);
        Object value = table == null ? null : table.get(List.of(key));
        if (value == null) {
            return absent;
        }
        if (!(value instanceof Number n) || !Double.isFinite(n.doubleValue())) {
            error(key, "must be a number");
            return absent;
        }
        if (n.doubleValue() < least || n.doubleValue() > most) {
            error(key, "must lie between " + text(least) + " and " + text(most) + ", not " + text(n.doubleValue()));
            return absent;
        }
        return n.doubleValue();
    }

    int whole(String key, int absent, int least, int most) {
        double value = number(key, absent, least, most);
        if (value != Math.rint(value)) {
            error(key, "must be a whole number");
            return absent;
        }
        return (int) value;
    }

    String word(String key, String absent) {
        known.add(key);
        Object value = table == null ? null : table.get(List.of(key));
        if (value == null) {
            return absent;
        }
        if (!(value instanceof String s)) {
            error(key, "must be a text");
            return absent;
        }
        return s;
    }

    boolean flag(String key, boolean absent) {
        known.add(key);
        Object value = table == null ? null : table.get(List.of(key));
        if (value != null && !(value instanceof Boolean)) {
            error(key, "must be true or false");
        }
        return value instanceof Boolean b ? b : absent;
    }

    <E extends Enum<E>> E choice(String key, Class<E> of, E absent) {
        String word = word(key, absent == null ? null : lower(absent));
        for (E one : of.getEnumConstants()) {
            if (lower(one).equals(word)) {
                return one;
            }
        }
        List<String> words = new ArrayList<>();
        for (E one : of.getEnumConstants()) {
            words.add(lower(one));
        }
        error(key, (word == null ? "is missing; it must be" : "must be") + " one of " + String.join(", ", words));
        return absent == null ? of.getEnumConstants()[0] : absent;
    }

    List<Integer> wholes(String key, int least, int most) {
        known.add(key);
        Object value = table == null ? null : table.get(List.of(key));
        List<Integer> all = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof Long n && n >= least && n <= most) {
                    all.add(n.intValue());
                } else {
                    error(key, "must hold whole numbers from " + least + " to " + most);
                }
            }
        } else if (value != null) {
            error(key, "must be an array");
        }
        return all;
    }

    List<String> words(String key, List<String> absent) {
        known.add(key);
        Object value = table == null ? null : table.get(List.of(key));
        if (value == null) {
            return absent;
        }
        if (!(value instanceof TomlArray array) || !array.toList().stream().allMatch(String.class::isInstance)) {
            error(key, "must be an array of texts");
            return absent;
        }
        return array.toList().stream().map(String.class::cast).toList();
    }

    boolean has(String key) {
        return table != null && table.contains(List.of(key));
    }

    void error(String key, String reason) {
        TomlPosition at = table == null
                ? null
                : has(key) ? table.inputPositionOf(List.of(key)) : table.inputPositionOf(List.of());
        errors.add(file + ":" + (at == null ? 1 : at.line()) + ": " + path + key + ": " + reason);
    }

    /** Notes all keys that nobody asked for. */
    void end() {
        if (table != null) {
            for (String key : table.keySet()) {
                if (!known.contains(key)) {
                    error(key, "is unknown");
                }
            }
        }
    }

    private static String lower(Enum<?> one) {
        return one.name().toLowerCase(Locale.ROOT);
    }

    private static String text(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e9
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
