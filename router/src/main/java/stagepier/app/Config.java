package stagepier.app;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import stagepier.discovery.HostGroup;
import stagepier.peers.PeerSocket;
import stagepier.settings.SettingsException;
import stagepier.settings.SettingsParser;

/**
 * The configuration with which a router starts.
 *
 * @param known   the list of cache servers that this router had last, or null
 * @param sockets maximum number of file descriptors of the process
 * @param peers   addresses for reports between routers, or null if they exchange none
 * @param console address of the operators' console, or null if there is no console
 * @param passed  whether the clients' listening socket is inherited as descriptor 0, which other processes share
 * @param name    name of this router, or ""
 * @param fleet   path of the file that lists the members of the fleet, or ""
 * @param shared  folder that this process shares with its predecessor and its successor, or null if there is none
 */
record Config(
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        JsonElement known,
        int sockets,
        SettingsParser.Parsed settings,
        PeerSocket.Addresses peers,
        InetSocketAddress console,
        boolean passed,
        String name,
        String fleet,
        Path shared) {
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int MIN_SOCKETS = 128;

    /** A configuration with which the program cannot start; the message is one line. */
    static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(String message) {
            this(message, null);
        }

        InvalidConfigException(String message, IOException cause) {
            super(message.replaceAll("\\s+", " "), cause);
        }
    }

    static Config read(String path) throws InvalidConfigException {
        if (path == null || path.isEmpty()) {
            throw new InvalidConfigException("GW_CONFIG names no file");
        }
        try {
            return parse(Files.readString(Path.of(path)), System.getenv());
        } catch (IOException e) {
            throw new InvalidConfigException("GW_CONFIG: cannot read " + path, e);
        }
    }

    static Config parse(String text) throws InvalidConfigException {
        return parse(text, Map.of());
    }

    static Config parse(String text, Map<String, String> environment) throws InvalidConfigException {
        try {
            JsonObject o = JsonParser.parseString(text).getAsJsonObject();
            JsonElement known = o.get("known");
            InetSocketAddress listen = address(o, "listen");
            InetSocketAddress discovery = address(o, "discovery");
            SettingsParser.Parsed settings = SettingsParser.parse(String.valueOf(o.get("settings")));
            return new Config(
                    listen,
                    discovery,
                    seed(o),
                    known == null || known.isJsonNull() ? null : known,
                    sockets(o),
                    settings,
                    peers(o, settings),
                    console(o, environment),
                    passed(environment),
                    name(o, environment),
                    environment.getOrDefault("GW_FLEET", ""),
                    shared(environment));
        } catch (JsonParseException
                | IllegalStateException
                | UnsupportedOperationException
                | IllegalArgumentException
                | SettingsException e) {
            throw new InvalidConfigException("configuration: " + e.getMessage());
        }
    }

    private static long seed(JsonObject o) {
        try {
            return o.has("seed") ? Long.parseUnsignedLong(o.get("seed").getAsString(), 16) : System.nanoTime();
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed is not a number of 16 hex digits", e);
        }
    }

    private static PeerSocket.Addresses peers(JsonObject o, SettingsParser.Parsed settings) {
        if (!settings.settings().limits().peers() || !o.has("peer_listen") || !o.has("peers") || !o.has("peers_all")) {
            return null;
        }
        List<InetSocketAddress> routers = new ArrayList<>();
        o.getAsJsonArray("peers").forEach(e -> routers.add(HostGroup.address(e.getAsString())));
        return new PeerSocket.Addresses(
                address(o, "peer_listen"), address(o, "peers_all"), List.copyOf(routers), settings.slot());
    }

    private static InetSocketAddress console(JsonObject o, Map<String, String> environment) {
        String named = environment.getOrDefault("GW_CONSOLE", "");
        if (o.has("console") && !o.get("console").isJsonNull()) {
            return address(o, "console");
        }
        try {
            return named.isEmpty() ? null : HostGroup.address(named);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("GW_CONSOLE: " + e.getMessage(), e);
        }
    }

    private static String name(JsonObject o, Map<String, String> environment) {
        return o.has("name") ? o.get("name").getAsString() : environment.getOrDefault("GW_NAME", "");
    }

    private static Path shared(Map<String, String> environment) {
        String folder = environment.getOrDefault("TMPDIR", "");
        return folder.isEmpty() ? null : Path.of(folder);
    }

    private static boolean passed(Map<String, String> environment) {
        String descriptor = environment.getOrDefault("GW_PASSED_SOCKET", "");
        if (!descriptor.isEmpty() && !descriptor.equals("0")) {
            throw new IllegalArgumentException(
                    "GW_PASSED_SOCKET is '" + descriptor + "', but only descriptor 0 can be taken over");
        }
        return !descriptor.isEmpty();
    }

    private static int sockets(JsonObject o) {
        JsonElement limits = o.get("limits");
        if (limits == null || !limits.getAsJsonObject().has("sockets")) {
            return DEFAULT_SOCKETS;
        }
        int sockets = limits.getAsJsonObject().get("sockets").getAsInt();
        if (sockets < MIN_SOCKETS) {
            throw new IllegalArgumentException("limits.sockets is below " + MIN_SOCKETS);
        }
        return sockets;
    }

    private static InetSocketAddress address(JsonObject o, String key) {
        if (!o.has(key)) {
            throw new IllegalArgumentException(key + " is missing");
        }
        return HostGroup.address(o.get(key).getAsString());
    }
}
