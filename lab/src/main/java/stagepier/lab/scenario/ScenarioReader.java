package stagepier.lab.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import stagepier.lab.model.Arrivals;
import stagepier.lab.model.NodeModel;
import stagepier.lab.model.OriginModel;
import stagepier.lab.model.RequestKind;
import stagepier.lab.nemesis.Link;
import stagepier.lab.nemesis.LinkFault;

/** Reads a scenario from TOML; every value has a default, every error its file, line and key. */
public final class ScenarioReader {
    private static final double FOR_EVER = 86_400;

    private ScenarioReader() {}

    public static Scenario read(Path file) throws IOException, InvalidScenarioException {
        return parse(file.toString(), Files.readString(file));
    }

    public static Scenario parse(String file, String text) throws InvalidScenarioException {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            throw new InvalidScenarioException(toml.errors().stream()
                    .map(e -> file + ":" + e.position().line() + ": "
                            + e.getMessage().lines().findFirst().orElse(""))
                    .toList());
        }
        List<String> errors = new ArrayList<>();
        Scenario scenario = scenario(file, new Table(file, "", toml, errors));
        if (!errors.isEmpty()) {
            throw new InvalidScenarioException(errors);
        }
        return scenario;
    }

    private static Scenario scenario(String file, Table root) {
        String name = root.word("name", Path.of(file).getFileName().toString().replaceAll("\\.toml$", ""));
        if (!name.matches("[a-z0-9][a-z0-9-]*")) {
            root.error("name", "must be lower-case letters, digits and dashes");
        }
        String about = root.word("about", "");
        Table fleet = root.sub("fleet");
        int nodes = fleet.whole("nodes", 6, 1, 64);
        int routers = fleet.whole("routers", 2, 1, 16);
        int zones = fleet.whole("zones", 1, 1, 16);
        int sockets = fleet.whole("sockets", 512, 128, 4096);
        double notice = fleet.number("notice_s", 1, 0, 60);
        boolean peers = fleet.flag("peers", false);
        int stated = fleet.whole("stated_routers", routers, routers, 10_000);
        double silentNotice = fleet.number("silent_notice_s", 6, 0, 60);
        fleet.end();
        NodeModel.Traits node = node(root.sub("node"));
        OriginModel.Traits origin = origin(root.sub("origin"));
        Table load = root.sub("load");
        double seconds = load.number("seconds", 20, 1, 3600);
        Arrivals.Demand demand = new Arrivals.Demand(
                load.number("rate", 200, 1, 100_000),
                seconds,
                load.choice("shape", Arrivals.Shape.class, Arrivals.Shape.STEADY),
                load.number("swing", 0.2, 0, 20),
                routers,
                load.number("router_skew", 0.2, 0, 5),
                load.whole("keys", 20_000, 1, 10_000_000),
                load.number("zipf", 0.9, 0.01, 3),
                load.number("drift", 0, 0, 100_000),
                load.whole("tenants", 3, 1, 64));
        Scenario.Retries retries = load.choice("retries", Scenario.Retries.class, Scenario.Retries.WAIT);
        int retryMost = load.whole("retry_most", 2, 0, 10);
        int value = load.whole("value_bytes", 100, 1, 500_000);
        load.end();
        List<RequestKind> kinds = kinds(root);
        List<Fault> faults = new ArrayList<>();
        for (Table t : root.subs("fault")) {
            faults.add(fault(t, nodes, routers, seconds));
        }
        List<LinkFault> linkFaults = new ArrayList<>();
        for (Table t : root.subs("link_fault")) {
            linkFaults.add(linkFault(t, routers, seconds));
        }
        FleetScenario together = FleetScenarioReader.read(root, routers, seconds);
        root.end();
        return new Scenario(
                name,
                about,
                nodes,
                routers,
                zones,
                sockets,
                node,
                origin,
                notice,
                silentNotice,
                demand,
                kinds,
                retries,
                retryMost,
                value,
                List.copyOf(faults),
                List.copyOf(linkFaults),
                peers,
                stated,
                together);
    }

    private static NodeModel.Traits node(Table t) {
        NodeModel.Traits traits = new NodeModel.Traits(
                t.whole("cores", 3, 1, 64),
                t.number("speed", 1, 0.01, 100),
                t.whole("held", 40, 1, 100_000),
                t.whole("connections", 75, 1, 100_000),
                t.number("handshake_ms", 14, 0, 1000) / 1e3,
                t.number("cold_share", 0.3, 0.01, 1),
                t.number("warm_up_s", 6, 0, 600),
                t.number("fall_multiple", 4, 1, 1000),
                t.number("fall_span_s", 1, 0.1, 60),
                t.number("down_s", 8, 0, 600),
                t.whole("memory", 20_000, 1, 10_000_000));
        t.end();
        return traits;
    }

    private static OriginModel.Traits origin(Table t) {
        OriginModel.Traits traits = new OriginModel.Traits(
                t.whole("places", 8, 1, 10_000),
                t.number("service_ms", 60, 0.01, 60_000) / 1e3,
                t.number("queue_s", 1, 0, 600),
                t.number("fall_multiple", 3, 1, 1000),
                t.number("fall_span_s", 3, 0.1, 60),
                t.number("down_s", 4, 0, 600));
        t.end();
        return traits;
    }

    private static List<RequestKind> kinds(Table root) {
        List<RequestKind> kinds = new ArrayList<>();
        for (Table t : root.subs("class")) {
            String name = t.word("name", "");
            if (!name.matches("[a-z][a-z0-9-]*")) {
                t.error("name", "must be lower-case letters, digits and dashes");
            }
            double aim = t.number("aim_ms", 500, 1, 600_000) / 1e3;
            double deadline = t.number("deadline_ms", 1500, 1, 600_000) / 1e3;
            if (deadline < aim) {
                t.error("deadline_ms", "must not be below aim_ms");
            }
            double least = t.number("work_ms", 5, 0.001, 60_000) / 1e3;
            double most = t.number("work_most_ms", least * 1e3, 0.001, 60_000) / 1e3;
            if (most < least) {
                t.error("work_most_ms", "must not be below work_ms");
            }
            kinds.add(new RequestKind(
                    name,
                    t.number("share", 1, 0, 1e6),
                    aim,
                    deadline,
                    t.number("worth", 1, 0, 1e6),
                    least,
                    most,
                    t.choice("repeat", RequestKind.Repeat.class, RequestKind.Repeat.SAFE),
                    t.number("dedup_s", 12, 0, FOR_EVER),
                    t.flag("write", false)));
            t.end();
        }
        if (kinds.isEmpty()) {
            kinds.add(new RequestKind("read", 0.92, 0.5, 1.5, 4, 0.004, 0.008, RequestKind.Repeat.SAFE, 0, false));
            kinds.add(new RequestKind("put", 0.08, 1, 2.5, 10, 0.01, 0.02, RequestKind.Repeat.KEYED, 12, true));
        }
        if (kinds.stream().mapToDouble(RequestKind::share).sum() <= 0) {
            root.error("class", "all shares are 0");
        }
        return List.copyOf(kinds);
    }

    /** A fault between processes; for a slow one also what makes it slow is there by default. */
    static LinkFault linkFault(Table t, int routers, double seconds) {
        LinkFault.Shape shape = t.choice("shape", LinkFault.Shape.class, null);
        double at = t.number("at_s", 5, 0, seconds);
        double lasts = t.number("lasts_s", 5, 0, FOR_EVER);
        List<Integer> a = t.wholes("a", 0, routers - 1);
        List<Integer> b = t.wholes("b", 0, routers - 1);
        List<Integer> via = t.wholes("via", 0, routers - 1);
        if (a.isEmpty()) {
            t.error("a", "is missing: the routers of the one side");
        }
        if (a.stream().anyMatch(b::contains) || via.stream().anyMatch(r -> a.contains(r) || b.contains(r))) {
            t.error("a", "must share no router with b or via");
        }
        if (shape == LinkFault.Shape.BRIDGE && via.isEmpty()) {
            t.error("via", "is missing: the routers that hear both sides");
        }
        Set<Link> links = EnumSet.noneOf(Link.class);
        for (String word : t.words("links", List.of("peers", "discovery", "fleet"))) {
            switch (word) {
                case "peers" -> links.add(Link.PEERS);
                case "discovery" -> links.add(Link.DISCOVERY);
                case "fleet" -> links.add(Link.FLEET);
                case "nodes" -> links.add(Link.NODES);
                default -> t.error("links", "must hold some of peers, discovery, fleet, nodes");
            }
        }
        LinkFault fault = new LinkFault(
                shape,
                at,
                lasts,
                a,
                b,
                via,
                links,
                t.number("part", 0.3, 0, 1),
                t.number("delay_ms", 200, 0, 60_000) / 1e3,
                t.number("jitter_ms", 50, 0, 60_000) / 1e3,
                t.number("period_s", 2, 0.01, 3600));
        t.end();
        return fault;
    }

    private static Fault fault(Table t, int nodes, int routers, double seconds) {
        Fault.Kind kind = t.choice("kind", Fault.Kind.class, null);
        double at = t.number("at_s", 5, 0, seconds);
        double lasts = t.number("lasts_s", 5, 0, FOR_EVER);
        int most = (kind.isOfRouters() ? routers : nodes) - 1;
        List<Integer> which = t.wholes(kind.isOfRouters() ? "routers" : "nodes", 0, most);
        double part = t.number("part", 0, 0, 1);
        if (kind != Fault.Kind.DISCOVERY_DOWN && which.isEmpty() && part == 0) {
            t.error("part", "is missing, and so is the list of whom it befalls");
        }
        double factor = t.number("factor", kind == Fault.Kind.SLOW ? 5 : 0.2, 0, 1000);
        t.end();
        return new Fault(kind, at, lasts, which, part, factor);
    }
}
