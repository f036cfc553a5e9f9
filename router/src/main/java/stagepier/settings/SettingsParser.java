package stagepier.settings;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import stagepier.Api;

/**
 * Parses the settings text into {@link Api.Settings}. Unknown keys are skipped, and absent keys get the default values
 * that the wire format defines. Invalid settings are rejected with a message that names the key.
 */
public final class SettingsParser {
    /**
     * The parsed settings: those of the module, and what its host needs besides.
     *
     * @param reportFields number of values in a load report
     * @param answerReport names of these values in their order if answers carry the report; otherwise empty
     * @param names        the names used on sockets for what the module refers to by index
     * @param idleClose    seconds after which a server closes an idle connection; 0 for never
     * @param slot         index of this balancer among all balancers, from 0
     * @param streams      requests that a server processes at a time per connection; further ones wait at the server
     */
    public record Parsed(
            Api.Settings settings,
            int reportFields,
            List<String> answerReport,
            Names names,
            double idleClose,
            int slot,
            int streams) {}

    /** The names in the settings; the position in a list is the index that the module uses. */
    public record Names(List<String> classes, List<String> tenants, List<String> zones, List<String> kinds) {}

    private SettingsParser() {}

    public static Parsed parse(String text) {
        try {
            JsonElement root = JsonParser.parseString(text);
            if (!root.isJsonObject()) {
                throw new SettingsException("settings: not a JSON object");
            }
            return read(root.getAsJsonObject());
        } catch (JsonParseException | IllegalStateException | UnsupportedOperationException | NumberFormatException e) {
            String detail = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw new SettingsException("settings: not valid JSON of the expected shape: " + detail);
        }
    }

    private static Parsed read(JsonObject o) {
        List<Api.RequestClass> classes = classes(o);
        JsonObject family = object(o, "FamilyInfo");
        JsonObject report = object(o, "Report");
        List<String> fields = strings(report, "Fields");
        String reportMode = text(report, "How", "silent");
        boolean reported = !reportMode.equals("silent");
        Api.Settings settings = new Api.Settings(
                (int) number(o, "Siblings", 1),
                (int) number(o, "Zone", 0),
                classes,
                tenants(o),
                weights(text(o, "WeightKind", "silent")),
                fetching(text(family, "Mode", "through")),
                (int) number(family, "OriginKind", -1),
                number(o, "Period", 0),
                number(o, "OverShareWorth", 1),
                limits(object(o, "Limits")),
                protection(object(o, "Obligations")),
                prices(object(o, "Prices")),
                reported ? layout(fields) : Api.ReportLayout.NONE,
                text(o, "Discovery", "push").equals("ask"));
        Names names = new Names(
                namesOf(array(o, "Classes")), namesOf(array(o, "Realms")), strings(o, "Areas"), strings(o, "Flavors"));
        return new Parsed(
                settings,
                fields.size(),
                reportMode.equals("piggyback") ? List.copyOf(fields) : List.of(),
                names,
                number(object(o, "Limits"), "IdleClose", 0),
                (int) number(o, "SlotNo", 0),
                (int) number(object(o, "Limits"), "StreamsPerConn", Integer.MAX_VALUE));
    }

    private static List<Api.RequestClass> classes(JsonObject o) {
        List<Api.RequestClass> classes = new ArrayList<>();
        for (JsonElement e : array(o, "Classes")) {
            JsonObject c = e.getAsJsonObject();
            double deadline = required(c, "Deadline", "Classes[].Deadline");
            if (!(deadline > 0)) {
                throw new SettingsException("settings: Classes[].Deadline must be above 0");
            }
            classes.add(new Api.RequestClass(
                    repeat(text(c, "Repeat", "")),
                    scope(text(c, "Group", "cell")),
                    number(c, "DedupWindow", 0),
                    Math.min(deadline, number(c, "GoalTime", deadline)),
                    deadline,
                    number(c, "Worth", 1),
                    number(c, "LateWorth", 0),
                    bool(c, "Stream", false)));
        }
        if (classes.isEmpty()) {
            throw new SettingsException("settings: Classes is missing or empty");
        }
        return List.copyOf(classes);
    }

    private static List<String> namesOf(JsonArray entries) {
        List<String> names = new ArrayList<>();
        entries.forEach(e -> names.add(text(e.getAsJsonObject(), "Name", "")));
        return List.copyOf(names);
    }

    private static List<Api.Tenant> tenants(JsonObject o) {
        List<Api.Tenant> tenants = new ArrayList<>();
        for (JsonElement e : array(o, "Realms")) {
            JsonObject t = e.getAsJsonObject();
            tenants.add(new Api.Tenant(number(t, "Portion", 0), number(t, "QuotaPerS", 0)));
        }
        return List.copyOf(tenants);
    }

    private static Api.Limits limits(JsonObject o) {
        double retryAfter = bool(o, "RetryAfter", true) ? number(o, "MaxRetryAfter", 0) : 0;
        return new Api.Limits(
                (int) number(o, "MaxAttempts", 1),
                bool(o, "MayDuplicate", false),
                bool(o, "Cancel", false),
                bool(o, "Probes", false),
                retryAfter,
                number(o, "DialTimeout", 0),
                bool(o, "Peers", false));
    }

    private static Api.Protection protection(JsonObject o) {
        return new Api.Protection(
                number(o, "DrainGrace", 0),
                number(o, "ColdFrom", 1),
                number(o, "Cold", 0),
                number(o, "FallMultiple", 1),
                number(o, "TipAfter", 1));
    }

    private static Api.Prices prices(JsonObject o) {
        return new Api.Prices(number(o, "Waste", 0), number(o, "Origin", 0), number(o, "CrossZone", 0));
    }

    private static Api.ReportLayout layout(List<String> fields) {
        return new Api.ReportLayout(fields.indexOf("depth"), fields.indexOf("concurrent"), fields.indexOf("x0"));
    }

    private static Api.Repeat repeat(String word) {
        return switch (word) {
            case "idempotent" -> Api.Repeat.SAFE;
            case "deduplicated" -> Api.Repeat.KEYED;
            case "at_most_once" -> Api.Repeat.UNSAFE;
            default -> throw new SettingsException("settings: Classes[].Repeat '" + word + "' is unknown");
        };
    }

    private static Api.Scope scope(String word) {
        return switch (word) {
            case "all" -> Api.Scope.ALL;
            case "zone" -> Api.Scope.ZONE;
            // The narrowest group is safe for any meaning of an unknown word.
            default -> Api.Scope.CELL;
        };
    }

    private static Api.WeightMeaning weights(String word) {
        return switch (word) {
            case "nominal", "rough" -> Api.WeightMeaning.SIZE;
            case "live" -> Api.WeightMeaning.LIVE;
            default -> Api.WeightMeaning.NONE;
        };
    }

    private static Api.Fetching fetching(String word) {
        return word.equals("aside") ? Api.Fetching.ASIDE : Api.Fetching.THROUGH;
    }

    private static JsonObject object(JsonObject o, String key) {
        JsonElement e = o.get(key);
        return e == null || e.isJsonNull() ? new JsonObject() : e.getAsJsonObject();
    }

    private static JsonArray array(JsonObject o, String key) {
        JsonElement e = o.get(key);
        return e == null || e.isJsonNull() ? new JsonArray() : e.getAsJsonArray();
    }

    private static List<String> strings(JsonObject o, String key) {
        List<String> list = new ArrayList<>();
        array(o, key).forEach(e -> list.add(e.getAsString()));
        return list;
    }

    private static double required(JsonObject o, String key, String name) {
        if (!o.has(key)) {
            throw new SettingsException("settings: " + name + " is missing");
        }
        return number(o, key, 0);
    }

    private static double number(JsonObject o, String key, double defaultValue) {
        JsonElement e = o.get(key);
        if (e == null || e.isJsonNull()) {
            return defaultValue;
        }
        double value = e.getAsDouble();
        if (Double.isNaN(value) || Double.isInfinite(value)) {
            throw new SettingsException("settings: " + key + " is not a finite number");
        }
        return value;
    }

    private static boolean bool(JsonObject o, String key, boolean defaultValue) {
        JsonElement e = o.get(key);
        return e == null || e.isJsonNull() ? defaultValue : e.getAsBoolean();
    }

    private static String text(JsonObject o, String key, String defaultValue) {
        JsonElement e = o.get(key);
        return e == null || e.isJsonNull() ? defaultValue : e.getAsString();
    }
}
