package stagepier.lab.standin;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.stream.IntStream;
import stagepier.lab.model.NodeModel;
import stagepier.lab.model.RequestKind;
import stagepier.lab.scenario.Scenario;

/** The settings of a router as a deployment words them, made of a scenario. */
public final class RouterSettings {
    private static final int MAX_ATTEMPTS = 3;
    private static final double MAX_RETRY_AFTER = 1.2;
    private static final double DIAL_TIMEOUT = 0.25;
    private static final int IDLE_CLOSE = 60;

    private RouterSettings() {}

    /**
     * @param routers of the whole fleet
     * @param router  number of the one that is to read them
     */
    public static JsonObject json(Scenario scenario, int routers, int router) {
        JsonObject settings = new JsonObject();
        settings.addProperty("Siblings", routers);
        settings.addProperty("SlotNo", router);
        settings.addProperty("Zone", router % scenario.zones());
        settings.add("Classes", classes(scenario.kinds()));
        settings.add("Realms", tenants(scenario.demand().tenants()));
        settings.add(
                "Areas",
                names(IntStream.range(0, scenario.zones())
                        .mapToObj(zone -> "z" + zone)
                        .toList()));
        settings.add("Flavors", names(List.of("m")));
        settings.add("Limits", limits(scenario));
        settings.add("Obligations", rules(scenario.node()));
        return settings;
    }

    private static JsonArray classes(List<RequestKind> kinds) {
        JsonArray classes = new JsonArray();
        for (RequestKind kind : kinds) {
            JsonObject one = new JsonObject();
            one.addProperty("Name", kind.name());
            one.addProperty("Deadline", kind.deadline());
            one.addProperty("GoalTime", kind.aim());
            one.addProperty("Worth", kind.worth());
            one.addProperty("Repeat", repeat(kind.repeat()));
            one.addProperty("Group", "all");
            one.addProperty("DedupWindow", kind.dedupWindow());
            classes.add(one);
        }
        return classes;
    }

    private static String repeat(RequestKind.Repeat repeat) {
        return switch (repeat) {
            case SAFE -> "idempotent";
            case KEYED -> "deduplicated";
            case UNSAFE -> "at_most_once";
        };
    }

    private static JsonArray tenants(int count) {
        JsonArray tenants = new JsonArray();
        for (int tenant = 0; tenant < count; tenant++) {
            JsonObject one = new JsonObject();
            one.addProperty("Name", "t" + tenant);
            one.addProperty("Portion", 1.0 / count);
            tenants.add(one);
        }
        return tenants;
    }

    private static JsonArray names(List<String> names) {
        JsonArray array = new JsonArray();
        names.forEach(array::add);
        return array;
    }

    private static JsonObject limits(Scenario scenario) {
        JsonObject limits = new JsonObject();
        limits.addProperty("MaxAttempts", MAX_ATTEMPTS);
        limits.addProperty("MayDuplicate", true);
        limits.addProperty("Cancel", true);
        limits.addProperty("MaxRetryAfter", MAX_RETRY_AFTER);
        limits.addProperty("DialTimeout", DIAL_TIMEOUT);
        limits.addProperty("IdleClose", IDLE_CLOSE);
        limits.addProperty("Peers", scenario.peers());
        return limits;
    }

    private static JsonObject rules(NodeModel.Traits node) {
        JsonObject rules = new JsonObject();
        rules.addProperty("DrainGrace", Scenario.DRAIN_GRACE);
        rules.addProperty("ColdFrom", node.coldShare());
        rules.addProperty("Cold", node.warmUp());
        rules.addProperty("FallMultiple", node.fallMultiple());
        rules.addProperty("TipAfter", node.fallSpan());
        return rules;
    }
}
