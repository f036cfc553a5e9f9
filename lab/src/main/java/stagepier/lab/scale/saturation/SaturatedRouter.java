package stagepier.lab.scale.saturation;

import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import stagepier.lab.fleet.RouterProcess;
import stagepier.lab.model.Randoms;
import stagepier.lab.scenario.InvalidScenarioException;
import stagepier.lab.scenario.Scenario;
import stagepier.lab.scenario.ScenarioReader;
import stagepier.lab.standin.DiscoveryBehaviour;
import stagepier.lab.standin.DiscoveryFront;
import stagepier.lab.standin.DiscoveryService;
import stagepier.lab.standin.HostList;
import stagepier.lab.standin.LabClock;
import stagepier.lab.standin.LoopScheduler;
import stagepier.lab.standin.RouterSettings;

/** One router process with its discovery, its cache servers and its clients; ends all that it started. */
final class SaturatedRouter implements AutoCloseable {
    /** Of all requests. */
    static final String REQUEST_CLASS = "read";

    private static final int SERVERS = 24;
    private static final int SERVER_LOOPS = 2;
    private static final int CLIENT_LOOPS = 2;
    private static final int SOCKETS = 1024;
    private static final int ENDS_WITHIN_S = 2;
    private static final String SCENARIO = """
            name = "saturation"
            [fleet]
            routers = 1
            sockets = %d
            [[class]]
            name = "%s"
            aim_ms = 500
            deadline_ms = 1500
            """.formatted(SOCKETS, REQUEST_CLASS);

    private final Scenario scenario;
    private final Randoms randoms;
    private final MultiThreadIoEventLoopGroup discoveryGroup = group(1);
    private final MultiThreadIoEventLoopGroup serverGroup = group(SERVER_LOOPS);
    private final MultiThreadIoEventLoopGroup clientGroup = group(CLIENT_LOOPS);
    private final EventLoop discoveryLoop = discoveryGroup.next();
    private final DiscoveryService service =
            new DiscoveryService(new LoopScheduler(discoveryLoop, new LabClock()), DiscoveryBehaviour.PUSHED);
    private final DiscoveryFront discovery = new DiscoveryFront(discoveryLoop, service, DiscoveryFront.Observer.NONE);
    private final FixedAnswerServers servers;
    private final RouterProcess process;
    /** Whatever ends this program, no router outlives it. */
    private final Thread atExit;

    private ClosedLoopClients clients;

    /**
     * @param command starts one router
     * @param folder  for its configuration and log; must be there
     */
    SaturatedRouter(SaturationSetting setting, List<String> command, Path folder) throws IOException {
        try {
            scenario = ScenarioReader.parse("saturation", SCENARIO);
        } catch (InvalidScenarioException e) {
            throw new IllegalStateException(e);
        }
        randoms = new Randoms(setting.seed());
        servers = new FixedAnswerServers(serverGroup, setting.valueBytes());
        process = new RouterProcess(0, command, Map.of(), folder, false);
        atExit = new Thread(process::close, "end-router");
        Runtime.getRuntime().addShutdownHook(atExit);
    }

    private static MultiThreadIoEventLoopGroup group(int loops) {
        return new MultiThreadIoEventLoopGroup(loops, NioIoHandler.newFactory());
    }

    /** Starts all, and waits until the router is under load. */
    void start(int connections) throws IOException, InterruptedException {
        servers.listen(SERVERS);
        discovery.listen();
        discoveryLoop.submit(this::publishServers).sync();
        process.start(configuration());
        process.awaitReady();
        clients = new ClosedLoopClients(clientGroup, process.port(), randoms);
        clients.start(connections);
    }

    private void publishServers() {
        List<Integer> ports = servers.ports();
        for (int server = 0; server < ports.size(); server++) {
            String address = "127.0.0.1:" + ports.get(server);
            service.publish(new HostList.Entry("s-%x".formatted(server + 1), server, address, "z0", "up", 0));
        }
    }

    private String configuration() throws InterruptedException {
        JsonObject configuration = new JsonObject();
        configuration.addProperty("name", "n0");
        configuration.addProperty("listen", "127.0.0.1:" + process.port());
        configuration.addProperty("discovery", "127.0.0.1:" + discovery.port());
        configuration.addProperty("seed", "%016x".formatted(randoms.of("router").nextLong()));
        JsonObject limits = new JsonObject();
        limits.addProperty("sockets", SOCKETS);
        configuration.add("limits", limits);
        configuration.add(
                "known",
                discoveryLoop.submit(() -> service.list().json()).sync().getNow());
        configuration.add("settings", RouterSettings.json(scenario, 1, 0));
        return configuration.toString();
    }

    ClosedLoopClients clients() {
        return clients;
    }

    long pid() {
        return process.pid();
    }

    @Override
    public void close() {
        if (clients != null) {
            clients.close();
        }
        process.close();
        servers.close();
        discovery.close();
        for (MultiThreadIoEventLoopGroup group : List.of(clientGroup, serverGroup, discoveryGroup)) {
            group.shutdownGracefully(0, ENDS_WITHIN_S, TimeUnit.SECONDS).syncUninterruptibly();
        }
        try {
            Runtime.getRuntime().removeShutdownHook(atExit);
        } catch (IllegalStateException e) {
            // The program is ending already, and the hook runs.
            return;
        }
    }
}
