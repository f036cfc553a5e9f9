package stagepier.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Reads {@code fleet.toml}, strictly: a key that it does not know is a slip, and a slip here may split a fleet. */
public final class FleetConfigReader {
    static final int MOST_MEMBERS = 1_000;
    static final long LARGEST_FILE = 256 * 1024;
    private static final Pattern NAME = Pattern.compile("[a-z0-9](?:[a-z0-9-]{0,30}[a-z0-9])?");
    private static final Pattern FIGURES =
            Pattern.compile("([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3}):([0-9]{1,5})");
    private static final List<String> KEYS =
            List.of("listen", "lease_ms", "skew_ms", "calendar", "candidate", "member");
    private static final List<String> MEMBER_KEYS = List.of("name", "address");

    private final Path file;
    private TomlParseResult toml;

    private FleetConfigReader(Path file) {
        this.file = file;
    }

    /**
     * @param self this router's name
     * @throws InvalidFleetFileException the first slip, in one line
     */
    public static FleetConfig read(Path file, String self) throws InvalidFleetFileException {
        return new FleetConfigReader(file).read(self);
    }

    private FleetConfig read(String self) throws InvalidFleetFileException {
        String text = text();
        toml = Toml.parse(text);
        if (toml.hasErrors()) {
            TomlParseError first = toml.errors().get(0);
            throw new InvalidFleetFileException(
                    file, first.position().line(), "-", "is no TOML: " + first.getMessage());
        }
        known(toml, "", KEYS);
        Duration lease = millis("lease_ms", 3_000, 1_000, 60_000);
        Duration skew = millis("skew_ms", 2_000, 0, 10_000);
        InetSocketAddress listen = toml.contains(List.of("listen")) ? address(toml, "", "listen") : null;
        Path calendar = path("calendar");
        Path candidate = path("candidate");
        SortedMap<String, InetSocketAddress> members = members();
        if (!members.containsKey(self)) {
            throw bad(toml, "", "member", "none has the name '" + self + "', which is this router's");
        }
        return new FleetConfig(
                file,
                hash(members.keySet(), lease, skew),
                self,
                listen == null ? members.get(self) : listen,
                members,
                calendar,
                lease,
                skew,
                candidate);
    }

    private String text() throws InvalidFleetFileException {
        try {
            if (Files.size(file) > LARGEST_FILE) {
                throw new InvalidFleetFileException(file, 1, "-", "is larger than " + LARGEST_FILE + " bytes");
            }
            return Files.readString(file);
        } catch (CharacterCodingException e) {
            throw new InvalidFleetFileException(file, 1, "-", "is not in UTF-8");
        } catch (IOException e) {
            throw new InvalidFleetFileException(file, 1, "-", "cannot be read");
        }
    }

    private SortedMap<String, InetSocketAddress> members() throws InvalidFleetFileException {
        Object value = toml.get(List.of("member"));
        if (value == null) {
            throw bad(toml, "", "member", "is missing: no router is named");
        }
        if (!(value instanceof TomlArray array)
                || array.isEmpty()
                || !array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            throw bad(toml, "", "member", "must be tables, each under [[member]]");
        }
        if (array.size() > MOST_MEMBERS) {
            throw bad(toml, "", "member", array.size() + " routers are named; at most " + MOST_MEMBERS);
        }
        SortedMap<String, InetSocketAddress> members = new TreeMap<>();
        Map<InetSocketAddress, String> names = new HashMap<>();
        for (int i = 0; i < array.size(); i++) {
            TomlTable table = array.getTable(i);
            String at = "member[" + i + "].";
            known(table, at, MEMBER_KEYS);
            String name = string(table, at, "name");
            if (!NAME.matcher(name).matches()) {
                throw bad(
                        table,
                        at,
                        "name",
                        "must be 1 to 32 lower-case letters, digits and dashes, with no dash at either end");
            }
            InetSocketAddress address = address(table, at, "address");
            if (members.putIfAbsent(name, address) != null) {
                throw bad(table, at, "name", "'" + name + "' is named before");
            }
            String other = names.putIfAbsent(address, name);
            if (other != null) {
                throw bad(table, at, "address", "is that of " + other);
            }
        }
        return members;
    }

    /** Figures only: a look-up would block, and may give two routers two answers. */
    private InetSocketAddress address(TomlTable table, String at, String key) throws InvalidFleetFileException {
        String value = string(table, at, key);
        Matcher figures = FIGURES.matcher(value);
        if (!figures.matches()) {
            throw bad(table, at, key, "'" + value + "' is no IPv4 address in figures with a port");
        }
        byte[] bytes = new byte[4];
        for (int i = 0; i < 4; i++) {
            int figure = Integer.parseInt(figures.group(i + 1));
            if (figure > 255
                    || figures.group(i + 1).length() > 1 && figures.group(i + 1).startsWith("0")) {
                throw bad(table, at, key, "'" + value + "' is no IPv4 address in figures with a port");
            }
            bytes[i] = (byte) figure;
        }
        int port = Integer.parseInt(figures.group(5));
        if (port < 1 || port > 65_535) {
            throw bad(table, at, key, "port " + port + " does not lie between 1 and 65535");
        }
        if (bytes[0] == 0 || (bytes[0] & 0xe0) == 0xe0) {
            throw bad(table, at, key, "'" + value + "' is no address of one machine");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    private Duration millis(String key, long absent, long least, long most) throws InvalidFleetFileException {
        Object value = toml.get(List.of(key));
        if (value == null) {
            return Duration.ofMillis(absent);
        }
        if (!(value instanceof Long n)) {
            throw bad(toml, "", key, "must be a whole number of milliseconds");
        }
        if (n < least || n > most) {
            throw bad(toml, "", key, n + " does not lie between " + least + " and " + most);
        }
        return Duration.ofMillis(n);
    }

    /** Beside the file itself where it is not absolute; null where the key is absent. */
    private Path path(String key) throws InvalidFleetFileException {
        if (!toml.contains(List.of(key))) {
            return null;
        }
        String name = string(toml, "", key);
        if (name.isBlank()) {
            throw bad(toml, "", key, "names no file");
        }
        try {
            return file.resolveSibling(name);
        } catch (InvalidPathException e) {
            throw bad(toml, "", key, "is no name of a file");
        }
    }

    private String string(TomlTable table, String at, String key) throws InvalidFleetFileException {
        Object value = table.get(List.of(key));
        if (!(value instanceof String text)) {
            throw bad(table, at, key, value == null ? "is missing" : "must be a text");
        }
        return text;
    }

    private void known(TomlTable table, String at, List<String> keys) throws InvalidFleetFileException {
        for (String key : table.keySet()) {
            if (!keys.contains(key)) {
                throw bad(table, at, key, "is unknown; known here: " + String.join(", ", keys));
            }
        }
    }

    /** Where the key is absent, the line is that of the table's first key, or the first of the file. */
    private InvalidFleetFileException bad(TomlTable table, String at, String key, String wrong) {
        Stream<String> keys = table.contains(List.of(key))
                ? Stream.of(key)
                : table == toml ? Stream.empty() : table.keySet().stream();
        int line = keys.map(k -> table.inputPositionOf(List.of(k)))
                .mapToInt(TomlPosition::line)
                .min()
                .orElse(1);
        return new InvalidFleetFileException(file, line, at + Toml.joinKeyPath(List.of(key)), wrong);
    }

    /** Of what has to be the same at all routers. */
    private static String hash(Set<String> names, Duration lease, Duration skew) {
        String text = String.join(",", names) + ";" + lease.toMillis() + ";" + skew.toMillis();
        try {
            byte[] sum = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(sum, 0, 8);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
