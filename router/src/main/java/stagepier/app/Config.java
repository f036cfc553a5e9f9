package stagepier.app;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import stagepier.discovery.HostGroup;
import stagepier.settings.SettingsException;
import stagepier.settings.SettingsParser;

/**
 * What a router is told at its start.
 *
 * @param known   the list of cache servers as this router last had it, or null
 * @param sockets file descriptors that the process may hold
 */
record Config(InetSocketAddress listen, InetSocketAddress discovery, long seed, JsonElement known, int sockets,
        SettingsParser.Parsed settings) {
    private static final int SOCKETS_USUAL = 1024;
    private static final int SOCKETS_LEAST = 128;

    /** A configuration with which the program cannot start; the message is one line. */
    static final class BadConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        BadConfigException(String message) {
            super(message.replaceAll("\\s+", " "));
        }
    }

    static Config read(String path) throws BadConfigException {
        if (path == null || path.isEmpty()) {
            throw new BadConfigException("GW_CONFIG names no file");
        }
        try {
            return parse(Files.readString(Path.of(path)));
        } catch (IOException e) {
            throw new BadConfigException("GW_CONFIG: cannot read " + path);
        }
    }

    static Config parse(String text) throws BadConfigException {
        try {
            JsonObject o = JsonParser.parseString(text).getAsJsonObject();
            JsonElement known = o.get("known");
            return new Config(address(o, "listen"), address(o, "discovery"), seed(o),
                    known == null || known.isJsonNull() ? null : known, sockets(o),
                    SettingsParser.parse(String.valueOf(o.get("settings"))));
        } catch (JsonParseException | IllegalStateException | UnsupportedOperationException
                | IllegalArgumentException | SettingsException e) {
            throw new BadConfigException("configuration: " + e.getMessage());
        }
    }

    private static long seed(JsonObject o) {
        try {
            return o.has("seed") ? Long.parseUnsignedLong(o.get("seed").getAsString(), 16) : System.nanoTime();
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed is not a number of 16 hex digits", e);
        }
    }

    private static int sockets(JsonObject o) {
        JsonElement limits = o.get("limits");
        if (limits == null || !limits.getAsJsonObject().has("sockets")) {
            return SOCKETS_USUAL;
        }
        int sockets = limits.getAsJsonObject().get("sockets").getAsInt();
        if (sockets < SOCKETS_LEAST) {
            throw new IllegalArgumentException("limits.sockets is below " + SOCKETS_LEAST);
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
