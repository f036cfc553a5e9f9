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

/** Reads {@code fleet.toml} and rejects unknown keys, since a misspelt key could split a fleet. */
public final class FleetConfigReader {
    static final int MAX_MEMBERS = 1_000;
    static final long MAX_FILE_BYTES = 256 * 1024;
    private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9](?:[a-z0-9-]{0,30}[a-z0-9])?");
    private static final Pattern ADDRESS_PATTERN =
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
     * @param self name of this router
     * @throws InvalidFleetFileException if the file is invalid; describes the first error in one line
     */
    public static FleetConfig read(Path file, String self) throws InvalidFleetFileException {
        return new FleetConfigReader(file).read(self);
    }

    private FleetConfig read(String self) throws InvalidFleetFileException {
        String text = readText();
        toml = Toml.parse(text);
        if (toml.hasErrors()) {
            TomlParseError first = toml.errors().get(0);
            throw new InvalidFleetFileException(
                    file, first.position().line(), "-", "is no TOML: " + first.getMessage());
        }
        rejectUnknownKeys(toml, "", KEYS);
        Duration lease = readMillis("lease_ms", 3_000, 1_000, 60_000);
        Duration skew = readMillis("skew_ms", 2_000, 0, 10_000);
        InetSocketAddress listen = toml.contains(List.of("listen")) ? address(toml, "", "listen") : null;
        Path calendar = path("calendar");
        Path candidate = path("candidate");
        SortedMap<String, InetSocketAddress> members = readMembers();
        if (!members.containsKey(self)) {
            throw invalid(toml, "", "member", "none has the name '" + self + "', which is this router's");
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

    private String readText() throws InvalidFleetFileException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new InvalidFleetFileException(file, 1, "-", "is larger than " + MAX_FILE_BYTES + " bytes");
            }
            return Files.readString(file);
        } catch (CharacterCodingException e) {
            throw new InvalidFleetFileException(file, 1, "-", "is not in UTF-8");
        } catch (IOException e) {
            throw new InvalidFleetFileException(file, 1, "-", "cannot be read");
        }
    }

    private SortedMap<String, InetSocketAddress> readMembers() throws InvalidFleetFileException {
        Object value = toml.get(List.of("member"));
        if (value == null) {
            throw invalid(toml, "", "member", "is missing: no router is named");
        }
        if (!(value instanceof TomlArray array)
                || array.isEmpty()
                || !array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            throw invalid(toml, "", "member", "must be tables, each under [[member]]");
        }
        if (array.size() > MAX_MEMBERS) {
            throw invalid(toml, "", "member", array.size() + " routers are named; at most " + MAX_MEMBERS);
        }
        SortedMap<String, InetSocketAddress> members = new TreeMap<>();
        Map<InetSocketAddress, String> ownersByAddress = new HashMap<>();
        for (int i = 0; i < array.size(); i++) {
            TomlTable table = array.getTable(i);
            String prefix = "member[" + i + "].";
            rejectUnknownKeys(table, prefix, MEMBER_KEYS);
            String name = requireString(table, prefix, "name");
            if (!NAME_PATTERN.matcher(name).matches()) {
                throw invalid(
                        table,
                        prefix,
                        "name",
                        "must be 1 to 32 lower-case letters, digits and dashes, with no dash at either end");
            }
            InetSocketAddress address = address(table, prefix, "address");
            if (members.putIfAbsent(name, address) != null) {
                throw invalid(table, prefix, "name", "'" + name + "' is named before");
            }
            String owner = ownersByAddress.putIfAbsent(address, name);
            if (owner != null) {
                throw invalid(table, prefix, "address", "is that of " + owner);
            }
        }
        return members;
    }

    /** Accepts numeric addresses only: a DNS lookup would block, and could differ between two routers. */
    private InetSocketAddress address(TomlTable table, String prefix, String key) throws InvalidFleetFileException {
        String value = requireString(table, prefix, key);
        Matcher matcher = ADDRESS_PATTERN.matcher(value);
        if (!matcher.matches()) {
            throw invalid(table, prefix, key, "'" + value + "' is no IPv4 address in figures with a port");
        }
        byte[] bytes = new byte[4];
        for (int i = 0; i < 4; i++) {
            int octet = Integer.parseInt(matcher.group(i + 1));
            if (octet > 255
                    || matcher.group(i + 1).length() > 1 && matcher.group(i + 1).startsWith("0")) {
                throw invalid(table, prefix, key, "'" + value + "' is no IPv4 address in figures with a port");
            }
            bytes[i] = (byte) octet;
        }
        int port = Integer.parseInt(matcher.group(5));
        if (port < 1 || port > 65_535) {
            throw invalid(table, prefix, key, "port " + port + " does not lie between 1 and 65535");
        }
        if (bytes[0] == 0 || (bytes[0] & 0xe0) == 0xe0) {
            throw invalid(table, prefix, key, "'" + value + "' is no address of one machine");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    private Duration readMillis(String key, long defaultMillis, long min, long max) throws InvalidFleetFileException {
        Object value = toml.get(List.of(key));
        if (value == null) {
            return Duration.ofMillis(defaultMillis);
        }
        if (!(value instanceof Long n)) {
            throw invalid(toml, "", key, "must be a whole number of milliseconds");
        }
        if (n < min || n > max) {
            throw invalid(toml, "", key, n + " does not lie between " + min + " and " + max);
        }
        return Duration.ofMillis(n);
    }

    /** Resolves a relative path against the directory of the file; returns null if the key is absent. */
    private Path path(String key) throws InvalidFleetFileException {
        if (!toml.contains(List.of(key))) {
            return null;
        }
        String name = requireString(toml, "", key);
        if (name.isBlank()) {
            throw invalid(toml, "", key, "names no file");
        }
        try {
            return file.resolveSibling(name);
        } catch (InvalidPathException e) {
            throw invalid(toml, "", key, "is no name of a file");
        }
    }

    private String requireString(TomlTable table, String prefix, String key) throws InvalidFleetFileException {
        Object value = table.get(List.of(key));
        if (!(value instanceof String text)) {
            throw invalid(table, prefix, key, value == null ? "is missing" : "must be a text");
        }
        return text;
    }

    private void rejectUnknownKeys(TomlTable table, String prefix, List<String> keys) throws InvalidFleetFileException {
        for (String key : table.keySet()) {
            if (!keys.contains(key)) {
                throw invalid(table, prefix, key, "is unknown; known here: " + String.join(", ", keys));
            }
        }
    }

    /**
     * Creates the exception for an invalid key. If the key is absent, the line is that of the table's first key, or the
     * first line of the file.
     */
    private InvalidFleetFileException invalid(TomlTable table, String prefix, String key, String problem) {
        Stream<String> keys = table.contains(List.of(key))
                ? Stream.of(key)
                : table == toml ? Stream.empty() : table.keySet().stream();
        int line = keys.map(k -> table.inputPositionOf(List.of(k)))
                .mapToInt(TomlPosition::line)
                .min()
                .orElse(1);
        return new InvalidFleetFileException(file, line, prefix + Toml.joinKeyPath(List.of(key)), problem);
    }

    /** Returns a hash of the values that must be equal on all routers. */
    private static String hash(Set<String> names, Duration lease, Duration skew) {
        String text = String.join(",", names) + ";" + lease.toMillis() + ";" + skew.toMillis();
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, 8);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
