import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/** A small deployment: cache servers, discovery's agent and one router. */
final class Deployment {
    final List<CacheServer> servers = new ArrayList<>();
    final Agent agent;
    /** The router; null if the case makes its own. */
    Rig.Router router;
    private final String[] zones;
    private final String[] kinds;

    /** @param models what each server does, by its index */
    Deployment(
            Rig rig,
            int serverCount,
            String[] zones,
            String[] kinds,
            int sockets,
            String settings,
            IntFunction<CacheServer.Model> models)
            throws IOException {
        this.zones = zones;
        this.kinds = kinds;
        agent = new Agent(rig);
        for (int i = 0; i < serverCount; i++) {
            servers.add(new CacheServer(rig, "s-%08x".formatted(0x5be2a07c + 7919 * i), models.apply(i)));
            list(i, "up");
        }
        router = rig.new Router("n1", agent.port, sockets, settings);
    }

    /** Lists a server, or changes what the list says of it. */
    void list(int server, String lifecycle) {
        CacheServer s = servers.get(server);
        agent.list(s.name, s.port, zones[server % zones.length], kinds[server % kinds.length], server / 2, lifecycle);
    }
}
