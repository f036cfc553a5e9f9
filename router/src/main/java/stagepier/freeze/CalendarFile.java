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

/** Reads {@code calendar.toml}, strictly: what makes no sense is refused in one line {@code FILE: line N: key K: what}. */
final class CalendarFile {
    private static final Set<String> ROOT = Set.of("zone", "window");
    private static final Set<String> KEYS =
            Set.of("name", "zone", "start", "end", "rule", "duration", "scope", "reason");
    private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}";
    private static final int REASON_MOST = 200;
    private static final int WINDOWS_MOST = 64;
    /** Guards against a year that was mistyped: nothing is frozen for longer than this by one window. */
    private static final Duration LONGEST = Duration.ofDays(31);

    private static final long LARGEST = 256 * 1024;

    private final String file;

    private CalendarFile(String file) {
        this.file = file;
    }

    /** @throws SettingsException where it cannot be read or makes no sense */
    static Windows read(Path path) {
        try {
            if (Files.size(path) > LARGEST) {
                throw new SettingsException(path + ": line 1: key -: larger than " + LARGEST / 1024 + " KB");
            }
            return parse(path.toString(), Files.readString(path));
        } catch (IOException e) {
            throw new SettingsException(
                    path + ": line 1: key -: cannot be read: " + e.getClass().getSimpleName());
        }
    }

    /** @throws SettingsException where it makes no sense */
    static Windows parse(String file, String text) {
        return new CalendarFile(file).windows(Toml.parse(text));
    }

    private Windows windows(TomlParseResult root) {
        if (root.hasErrors()) {
            TomlParseError first = root.errors().get(0);
            throw new SettingsException(file + ": line " + first.position().line() + ": key -: "
                    + String.valueOf(first.getMessage()).lines().findFirst().orElse("no TOML"));
        }
        known(root, "", ROOT);
        ZoneId zone = root.contains("zone") ? zone(root, "") : null;
        List<Window> windows = new ArrayList<>();
        Map<String, Integer> lines = new HashMap<>();
        Object array = root.get(List.of("window"));
        if (array != null && !(array instanceof TomlArray)) {
            throw bad(root, "", "window", "has to be a list of tables: [[window]]");
        }
        TomlArray tables = (TomlArray) array;
        for (int i = 0; tables != null && i < tables.size(); i++) {
            if (!(tables.get(i) instanceof TomlTable table)) {
                throw bad(root, "", "window", "has to be a list of tables: [[window]]");
            }
            String at = "window[" + i + "].";
            Window window = window(table, at, zone);
            Integer before = lines.put(window.name(), line(table, "name"));
            if (before != null) {
                throw bad(
                        table, at, "name", "'" + window.name() + "' is the name of another window, in line " + before);
            }
            windows.add(window);
        }
        if (windows.size() > WINDOWS_MOST) {
            throw bad(root, "", "window", windows.size() + " windows; at most " + WINDOWS_MOST);
        }
        Windows all = new Windows(windows);
        if (all.text().getBytes(StandardCharsets.UTF_8).length > Windows.LONGEST) {
            throw bad(root, "", "window", "more than " + Windows.LONGEST / 1024 + " KB of windows");
        }
        return all;
    }

    private Window window(TomlTable table, String at, ZoneId zoneOfAll) {
        known(table, at, KEYS);
        String name = text(table, at, "name");
        if (!name.matches(NAME)) {
            throw bad(table, at, "name", "has to be letters, digits, '.', '_' and '-', at most 64");
        }
        ZoneId zone = table.contains("zone") ? zone(table, at) : zoneOfAll;
        if (zone == null) {
            throw bad(table, at, "zone", "is missing, here and for all windows");
        }
        LocalDateTime start = time(table, at, "start");
        boolean again = table.contains("rule");
        if (again && table.contains("end")) {
            throw bad(table, at, "end", "a window with a rule has a duration in its place");
        }
        if (!again && table.contains("duration")) {
            throw bad(table, at, "duration", "is for windows with a rule; this one needs an end");
        }
        LocalDateTime end = again ? null : end(table, at, start, zone);
        Duration duration = again ? duration(table, at) : null;
        Recurrence rule = again ? rule(table, at, start) : null;
        String scopeText = text(table, at, "scope");
        Scope scope = Scope.parse(scopeText);
        if (scope == null) {
            throw bad(table, at, "scope", "'" + scopeText + "' is none of all, zone:NAME and kind:KIND");
        }
        String reason = text(table, at, "reason");
        if (reason.isBlank() || reason.length() > REASON_MOST || reason.chars().anyMatch(Character::isISOControl)) {
            throw bad(table, at, "reason", "has to be one line of at most " + REASON_MOST + " characters");
        }
        return new Window(name, zone, start, end, rule, duration, scope, reason);
    }

    private LocalDateTime end(TomlTable table, String at, LocalDateTime start, ZoneId zone) {
        LocalDateTime end = time(table, at, "end");
        if (!LocalTimes.earlier(start, zone).isBefore(LocalTimes.later(end, zone)) || end.isBefore(start)) {
            throw bad(table, at, "end", "is not after start");
        }
        if (Duration.between(start, end).compareTo(LONGEST) > 0) {
            throw bad(table, at, "end", "is more than " + LONGEST.toDays() + " days after start");
        }
        return end;
    }

    private Duration duration(TomlTable table, String at) {
        try {
            Duration duration = Duration.parse(text(table, at, "duration"));
            if (duration.compareTo(Duration.ofSeconds(1)) < 0 || duration.compareTo(LONGEST) > 0) {
                throw bad(table, at, "duration", "has to be from PT1S to P" + LONGEST.toDays() + "D");
            }
            return duration;
        } catch (DateTimeException e) {
            throw bad(table, at, "duration", "is no duration such as PT4H30M");
        }
    }

    private Recurrence rule(TomlTable table, String at, LocalDateTime start) {
        try {
            return new Recurrence(text(table, at, "rule"), start);
        } catch (IllegalArgumentException e) {
            throw bad(table, at, "rule", e.getMessage());
        }
    }

    private LocalDateTime time(TomlTable table, String at, String key) {
        Object value = required(table, at, key);
        if (!(value instanceof LocalDateTime time)) {
            throw bad(
                    table,
                    at,
                    key,
                    "has to be a local date and time such as 2026-12-05T18:00:00, without quotes and offset");
        }
        if (time.getYear() < 2020 || time.getYear() > 2099) {
            throw bad(table, at, key, "the year " + time.getYear() + " is not from 2020 to 2099");
        }
        return time;
    }

    private ZoneId zone(TomlTable table, String at) {
        String name = text(table, at, "zone");
        // Not every word that ZoneId takes: an offset has no summer time, and "EST" is one.
        if (!name.equals("UTC")
                && !(name.contains("/") && ZoneId.getAvailableZoneIds().contains(name))) {
            throw bad(table, at, "zone", "'" + name + "' is no time zone such as Africa/Cairo");
        }
        return ZoneId.of(name);
    }

    private String text(TomlTable table, String at, String key) {
        if (required(table, at, key) instanceof String text) {
            return text;
        }
        throw bad(table, at, key, "has to be a text");
    }

    private Object required(TomlTable table, String at, String key) {
        Object value = table.get(List.of(key));
        if (value == null) {
            throw bad(table, at, key, "is missing");
        }
        return value;
    }

    private void known(TomlTable table, String at, Set<String> keys) {
        for (String key : table.keySet()) {
            if (!keys.contains(key)) {
                throw bad(table, at, key, "is unknown");
            }
        }
    }

    /** Where the key stands; where it is missing, where its table begins. */
    private static int line(TomlTable table, String key) {
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

    private SettingsException bad(TomlTable table, String at, String key, String what) {
        return new SettingsException(file + ": line " + line(table, key) + ": key " + at + key + ": " + what);
    }
}
