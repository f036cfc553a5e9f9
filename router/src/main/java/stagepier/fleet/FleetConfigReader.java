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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Reads {@code fleet.toml}, strictly: a key that it does not know is a slip, and a slip here may split a fleet. */
public final class FleetConfigReader {
    static final int MOST_MEMBERS = 1_000;
    static final long LARGEST_FILE = 256 * 1024;
    private static final Pattern NAME = Pattern.compile("[a-z0-9](?:[a-z0-9-]{0,30}[a-z0-9])?");
    private static final Pattern FIGURES = Pattern.compile(
            "([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3}):([0-9]{1,5})");
    private static final List<String> TABLES = List.of("fleet", "members");
    private static final List<String> KEYS = List.of("lease_ms", "skew_ms", "calendar", "candidate");

    private final Path file;
    private TomlParseResult toml;

    private FleetConfigReader(Path file) {
        this.file = file;
    }

    /**
     * @param self this router's name
     * @throws BadFleetException the first slip, in one line
     */
    public static FleetConfig read(Path file, String self) throws BadFleetException {
        return new FleetConfigReader(file).read(self);
    }

    private FleetConfig read(String self) throws BadFleetException {
        String text = text();
        toml = Toml.parse(text);
        if (toml.hasErrors()) {
            TomlParseError first = toml.errors().get(0);
            throw new BadFleetException(file, first.position().line(), "-", "is no TOML: " + first.getMessage());
        }
        known(toml, List.of(), TABLES);
        TomlTable fleet = table("fleet");
        if (fleet != null) {
            known(fleet, List.of("fleet"), KEYS);
        }
        Duration lease = millis("lease_ms", 5_000, 1_000, 60_000);
        Duration skew = millis("skew_ms", 2_000, 0, 10_000);
        SortedMap<String, InetSocketAddress> members = members();
        if (!members.containsKey(self)) {
            throw bad(List.of("members"), "has no member '" + self + "', which is this router's name");
        }
        return new FleetConfig(file, hash(text), self, members, path("calendar"), lease, skew, path("candidate"));
    }

    private String text() throws BadFleetException {
        try {
            if (Files.size(file) > LARGEST_FILE) {
                throw new BadFleetException(file, 1, "-", "is larger than " + LARGEST_FILE + " bytes");
            }
            return Files.readString(file);
        } catch (CharacterCodingException e) {
            throw new BadFleetException(file, 1, "-", "is not in UTF-8");
        } catch (IOException e) {
            throw new BadFleetException(file, 1, "-", "cannot be read");
        }
    }

    private SortedMap<String, InetSocketAddress> members() throws BadFleetException {
        TomlTable table = table("members");
        if (table == null) {
            throw bad(List.of("members"), "is missing");
        }
        if (table.isEmpty()) {
            throw bad(List.of("members"), "names no router");
        }
        if (table.size() > MOST_MEMBERS) {
            throw bad(List.of("members"), "names " + table.size() + " routers; at most " + MOST_MEMBERS);
        }
        SortedMap<String, InetSocketAddress> members = new TreeMap<>();
        Map<InetSocketAddress, String> names = new HashMap<>();
        for (String name : table.keySet()) {
            List<String> at = List.of("members", name);
            if (!NAME.matcher(name).matches()) {
                throw bad(at, "a name is 1 to 32 lower-case letters, digits and dashes, with no dash at either end");
            }
            if (!(table.get(List.of(name)) instanceof String value)) {
                throw bad(at, "must be a text such as \"10.0.0.1:7400\"");
            }
            InetSocketAddress address = address(at, value);
            String other = names.putIfAbsent(address, name);
            if (other != null) {
                throw bad(at, "has the address of " + other);
            }
            members.put(name, address);
        }
        return members;
    }

    /** Figures only: a look-up would block, and may give two routers two answers. */
    private InetSocketAddress address(List<String> at, String value) throws BadFleetException {
        Matcher figures = FIGURES.matcher(value);
        if (!figures.matches()) {
            throw bad(at, "'" + value + "' is no IPv4 address in figures with a port");
        }
        byte[] bytes = new byte[4];
        for (int i = 0; i < 4; i++) {
            int figure = Integer.parseInt(figures.group(i + 1));
            if (figure > 255 || figures.group(i + 1).length() > 1 && figures.group(i + 1).startsWith("0")) {
                throw bad(at, "'" + value + "' is no IPv4 address in figures with a port");
            }
            bytes[i] = (byte) figure;
        }
        int port = Integer.parseInt(figures.group(5));
        if (port < 1 || port > 65_535) {
            throw bad(at, "port " + port + " does not lie between 1 and 65535");
        }
        if (bytes[0] == 0 || (bytes[0] & 0xe0) == 0xe0) {
            throw bad(at, "'" + value + "' is no address of one machine");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    private Duration millis(String key, long absent, long least, long most) throws BadFleetException {
        List<String> at = List.of("fleet", key);
        Object value = toml.get(at);
        if (value == null) {
            return Duration.ofMillis(absent);
        }
        if (!(value instanceof Long n)) {
            throw bad(at, "must be a whole number of milliseconds");
        }
        if (n < least || n > most) {
            throw bad(at, n + " does not lie between " + least + " and " + most);
        }
        return Duration.ofMillis(n);
    }

    /** Beside the file itself where it is not absolute; null where the key is absent. */
    private Path path(String key) throws BadFleetException {
        List<String> at = List.of("fleet", key);
        Object value = toml.get(at);
        if (value == null) {
            return null;
        }
        if (!(value instanceof String name)) {
            throw bad(at, "must be a text: the name of a file");
        }
        if (name.isBlank()) {
            throw bad(at, "names no file");
        }
        try {
            return file.resolveSibling(name);
        } catch (InvalidPathException e) {
            throw bad(at, "is no name of a file");
        }
    }

    private TomlTable table(String name) throws BadFleetException {
        Object value = toml.get(List.of(name));
        if (value != null && !(value instanceof TomlTable)) {
            throw bad(List.of(name), "must be a table");
        }
        return (TomlTable) value;
    }

    private void known(TomlTable table, List<String> at, List<String> keys) throws BadFleetException {
        for (String key : table.keySet()) {
            if (!keys.contains(key)) {
                List<String> path = new ArrayList<>(at);
                path.add(key);
                throw bad(path, "is unknown; known here: " + String.join(", ", keys));
            }
        }
    }

    private BadFleetException bad(List<String> at, String wrong) {
        TomlPosition position = toml.inputPositionOf(at);
        return new BadFleetException(file, position == null ? 1 : position.line(), Toml.joinKeyPath(at), wrong);
    }

    private static String hash(String text) {
        try {
            byte[] sum = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(sum, 0, 8);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
