package stagepier.freeze;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;
import stagepier.settings.SettingsException;

/**
 * Parses {@code calendar.toml} strictly: an invalid file is rejected with one line of the form
 * {@code FILE: line N: key K: problem}.
 */
final class CalendarFile {
    private static final Set<String> ROOT_KEYS = Set.of("zone", "window");
    private static final Set<String> WINDOW_KEYS =
            Set.of("name", "zone", "start", "end", "rule", "duration", "scope", "reason");
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}";
    private static final int MAX_REASON_CHARS = 200;
    private static final int MAX_WINDOWS = 64;
    /** Limits each window, so that a mistyped year does not freeze the topology for years. */
    private static final Duration MAX_WINDOW_DURATION = Duration.ofDays(31);

    private static final long MAX_FILE_BYTES = 256 * 1024;

    private final String file;

    private CalendarFile(String file) {
        this.file = file;
    }

    /** @throws SettingsException if the file cannot be read or is invalid */
    static Windows read(Path path) {
        try {
            if (Files.size(path) > MAX_FILE_BYTES) {
                throw new SettingsException(path + ": line 1: key -: larger than " + MAX_FILE_BYTES / 1024 + " KB");
            }
            return parse(path.toString(), Files.readString(path));
        } catch (IOException e) {
            throw new SettingsException(
                    path + ": line 1: key -: cannot be read: " + e.getClass().getSimpleName());
        }
    }

    /** @throws SettingsException if the text is invalid */
    static Windows parse(String file, String text) {
        return new CalendarFile(file).windows(Toml.parse(text));
    }

    private Windows windows(TomlParseResult root) {
        if (root.hasErrors()) {
            TomlParseError first = root.errors().get(0);
            throw new SettingsException(file + ": line " + first.position().line() + ": key -: "
                    + String.valueOf(first.getMessage()).lines().findFirst().orElse("no TOML"));
        }
        checkKeys(root, "", ROOT_KEYS);
        ZoneId zone = root.contains("zone") ? zone(root, "") : null;
        List<Window> windows = new ArrayList<>();
        Map<String, Integer> lines = new HashMap<>();
        Object array = root.get(List.of("window"));
        if (array != null && !(array instanceof TomlArray)) {
            throw invalid(root, "", "window", "has to be a list of tables: [[window]]");
        }
        TomlArray tables = (TomlArray) array;
        for (int i = 0; tables != null && i < tables.size(); i++) {
            if (!(tables.get(i) instanceof TomlTable table)) {
                throw invalid(root, "", "window", "has to be a list of tables: [[window]]");
            }
            String prefix = "window[" + i + "].";
            Window window = window(table, prefix, zone);
            Integer earlierLine = lines.put(window.name(), lineOf(table, "name"));
            if (earlierLine != null) {
                throw invalid(
                        table,
                        prefix,
                        "name",
                        "'" + window.name() + "' is the name of another window, in line " + earlierLine);
            }
            windows.add(window);
        }
        if (windows.size() > MAX_WINDOWS) {
            throw invalid(root, "", "window", windows.size() + " windows; at most " + MAX_WINDOWS);
        }
        Windows all = new Windows(windows);
        if (all.text().getBytes(StandardCharsets.UTF_8).length > Windows.MAX_TEXT_BYTES) {
            throw invalid(root, "", "window", "more than " + Windows.MAX_TEXT_BYTES / 1024 + " KB of windows");
        }
        return all;
    }

    private Window window(TomlTable table, String prefix, ZoneId defaultZone) {
        checkKeys(table, prefix, WINDOW_KEYS);
        String name = requiredString(table, prefix, "name");
        if (!name.matches(NAME_PATTERN)) {
            throw invalid(table, prefix, "name", "has to be letters, digits, '.', '_' and '-', at most 64");
        }
        ZoneId zone = table.contains("zone") ? zone(table, prefix) : defaultZone;
        if (zone == null) {
            throw invalid(table, prefix, "zone", "is missing, here and for all windows");
        }
        LocalDateTime start = dateTime(table, prefix, "start");
        boolean recurring = table.contains("rule");
        if (recurring && table.contains("end")) {
            throw invalid(table, prefix, "end", "a window with a rule has a duration in its place");
        }
        if (!recurring && table.contains("duration")) {
            throw invalid(table, prefix, "duration", "is for windows with a rule; this one needs an end");
        }
        LocalDateTime end = recurring ? null : end(table, prefix, start, zone);
        Duration duration = recurring ? duration(table, prefix) : null;
        Recurrence rule = recurring ? rule(table, prefix, start) : null;
        String scopeText = requiredString(table, prefix, "scope");
        Scope scope = Scope.parse(scopeText);
        if (scope == null) {
            throw invalid(table, prefix, "scope", "'" + scopeText + "' is none of all, zone:NAME and kind:KIND");
        }
        String reason = requiredString(table, prefix, "reason");
        if (reason.isBlank()
                || reason.length() > MAX_REASON_CHARS
                || reason.chars().anyMatch(Character::isISOControl)) {
            throw invalid(table, prefix, "reason", "has to be one line of at most " + MAX_REASON_CHARS + " characters");
        }
        return new Window(name, zone, start, end, rule, duration, scope, reason);
    }

    private LocalDateTime end(TomlTable table, String prefix, LocalDateTime start, ZoneId zone) {
        LocalDateTime end = dateTime(table, prefix, "end");
        if (!LocalTimes.earlier(start, zone).isBefore(LocalTimes.later(end, zone)) || end.isBefore(start)) {
            throw invalid(table, prefix, "end", "is not after start");
        }
        if (Duration.between(start, end).compareTo(MAX_WINDOW_DURATION) > 0) {
            throw invalid(table, prefix, "end", "is more than " + MAX_WINDOW_DURATION.toDays() + " days after start");
        }
        return end;
    }

    private Duration duration(TomlTable table, String prefix) {
        try {
            Duration duration = Duration.parse(requiredString(table, prefix, "duration"));
            if (duration.compareTo(Duration.ofSeconds(1)) < 0 || duration.compareTo(MAX_WINDOW_DURATION) > 0) {
                throw invalid(
                        table, prefix, "duration", "has to be from PT1S to P" + MAX_WINDOW_DURATION.toDays() + "D");
            }
            return duration;
        } catch (DateTimeException e) {
            throw invalid(table, prefix, "duration", "is no duration such as PT4H30M");
        }
    }

    private Recurrence rule(TomlTable table, String prefix, LocalDateTime start) {
        try {
            return new Recurrence(requiredString(table, prefix, "rule"), start);
        } catch (IllegalArgumentException e) {
            throw invalid(table, prefix, "rule", e.getMessage());
        }
    }

    private LocalDateTime dateTime(TomlTable table, String prefix, String key) {
        Object value = required(table, prefix, key);
        if (!(value instanceof LocalDateTime time)) {
            throw invalid(
                    table,
                    prefix,
                    key,
                    "has to be a local date and time such as 2026-12-05T18:00:00, without quotes and offset");
        }
        if (time.getYear() < 2020 || time.getYear() > 2099) {
            throw invalid(table, prefix, key, "the year " + time.getYear() + " is not from 2020 to 2099");
        }
        return time;
    }

    private ZoneId zone(TomlTable table, String prefix) {
        String name = requiredString(table, prefix, "zone");
        // Stricter than ZoneId.of, which also accepts fixed offsets and aliases of them such as "EST": these have no
        // daylight saving time.
        if (!name.equals("UTC")
                && !(name.contains("/") && ZoneId.getAvailableZoneIds().contains(name))) {
            throw invalid(table, prefix, "zone", "'" + name + "' is no time zone such as Africa/Cairo");
        }
        return ZoneId.of(name);
    }

    private String requiredString(TomlTable table, String prefix, String key) {
        if (required(table, prefix, key) instanceof String text) {
            return text;
        }
        throw invalid(table, prefix, key, "has to be a text");
    }

    private Object required(TomlTable table, String prefix, String key) {
        Object value = table.get(List.of(key));
        if (value == null) {
            throw invalid(table, prefix, key, "is missing");
        }
        return value;
    }

    private void checkKeys(TomlTable table, String prefix, Set<String> keys) {
        for (String key : table.keySet()) {
            if (!keys.contains(key)) {
                throw invalid(table, prefix, key, "is unknown");
            }
        }
    }

    /** Returns the line of the key, or of the first key of its table if the key is missing. */
    private static int lineOf(TomlTable table, String key) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        if (position == null) {
            position = table.keySet().stream()
                    .map(k -> table.inputPositionOf(List.of(k)))
                    .filter(p -> p != null)
                    .min(java.util.Comparator.comparingInt(TomlPosition::line))
                    .orElse(null);
        }
        return position == null ? 1 : position.line();
    }

    private SettingsException invalid(TomlTable table, String prefix, String key, String problem) {
        return new SettingsException(file + ": line " + lineOf(table, key) + ": key " + prefix + key + ": " + problem);
    }
}
