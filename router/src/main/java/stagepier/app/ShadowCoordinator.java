package stagepier.app;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Optional;
import java.util.function.ObjLongConsumer;
import java.util.function.Supplier;
import stagepier.Api;
import stagepier.discovery.HostGroup;
import stagepier.drain.Drain;
import stagepier.exchange.Clock;
import stagepier.exchange.ModuleHost;
import stagepier.fleet.FleetConfig;
import stagepier.fleet.FleetRpc;
import stagepier.fleet.FleetService;
import stagepier.fleet.FleetView;
import stagepier.fleet.History;
import stagepier.freeze.AgreedSequence;
import stagepier.freeze.Calendar;
import stagepier.overload.Pressure;
import stagepier.server.ServerPools;
import stagepier.settings.SettingsParser;
import stagepier.shadow.Agreement;
import stagepier.shadow.Eligibility;
import stagepier.shadow.RouterState;
import stagepier.shadow.ServerStates;
import stagepier.shadow.ShadowCopies;
import stagepier.shadow.ShadowService;
import stagepier.tasks.Tasks;

/**
 * Connects the two halves of the shadow map: the copies on the event loop and the service on separate tasks. Created
 * only if {@code fleet.toml} names a candidate map. Methods are called on the event loop unless stated otherwise.
 */
final class ShadowCoordinator {
    /** Fraction of all descriptors that links for copies may take, within the limits below. */
    private static final double LINKS_FRACTION = 0.02;

    private static final int MIN_LINKS = 4;
    private static final int MAX_LINKS = 64;

    private final ShadowService service;
    private final ServerStates servers;
    private final ShadowCopies copies;

    /**
     * The dependencies that belong to the fleet.
     *
     * @param incarnation of this process, as in its history: above 0 and unique among the processes of the same name
     */
    record FleetContext(
            Tasks tasks,
            FleetRpc rpc,
            FleetConfig config,
            long incarnation,
            Supplier<FleetView> view,
            Supplier<Calendar> calendar,
            Agreement agreement,
            History history) {}

    /** The dependencies that belong to the router. */
    record RouterContext(
            EventLoop loop,
            Clock clock,
            SettingsParser.Parsed settings,
            int sockets,
            ModuleHost host,
            Pressure pressure,
            Drain drain) {}

    ShadowCoordinator(FleetContext fleet, RouterContext context) {
        Api.Settings settings = context.settings().settings();
        servers = new ServerStates(
                settings.protection().warmUp(),
                (now, server) ->
                        context.host().avoidsOptionalLoad(now, server) ? Eligibility.CROWDED : Eligibility.FIT);
        service = new ShadowService(new ShadowService.Parts(
                fleet.tasks(),
                fleet.rpc(),
                fleet.config(),
                fleet.incarnation(),
                fleet.view(),
                fleet.calendar(),
                fleet.agreement(),
                servers::members,
                settings.weights() == Api.WeightMeaning.SIZE,
                context.settings().names().zones(),
                context.settings().names().kinds(),
                fleet.history()));
        RouterState router = new RouterState() {
            @Override
            public boolean isPressed() {
                return context.pressure().state() != Pressure.State.NORMAL;
            }

            @Override
            public boolean isDraining() {
                return !context.drain().isReady();
            }
        };
        // Ids of copies differ by router and by process, and do not have a form that clients are known to use.
        String ids = "s" + Long.toHexString(fleet.config().self().hashCode() & 0xffffffffL)
                + Long.toHexString(fleet.incarnation()) + "x";
        copies = new ShadowCopies(new ShadowCopies.Parts(
                context.loop(),
                context.clock(),
                ServerPools.sockets(context.loop(), settings.limits().connectTimeout()),
                context.settings(),
                maxLinks(context.sockets()),
                ids,
                router,
                servers,
                fleet.tasks()::nanoTime,
                service::orders,
                service::counted,
                service::promoted,
                context.host()::promoted,
                fleet.history()));
        context.host().connectShadow(copies);
    }

    /** Returns the maximum number of descriptors for copies. */
    static int maxLinks(int sockets) {
        return Math.max(MIN_LINKS, Math.min(MAX_LINKS, (int) (LINKS_FRACTION * sockets)));
    }

    /** Adapts the agreed sequence of the fleet for promotions: all topics share one sequence. */
    static Agreement agreement(AgreedSequence sequence) {
        return new Agreement() {
            @Override
            public boolean propose(String topic, String text, Duration most) throws InterruptedException {
                return sequence.propose(text, most);
            }

            @Override
            public Optional<Accepted> latest(String topic) {
                return Optional.ofNullable(sequence.last()).map(last -> new Accepted(last.version(), last.text()));
            }
        };
    }

    /** Returns the service, which is started, reloaded and asked for its status with the other fleet services. */
    FleetService service() {
        return service;
    }

    void start() {
        copies.start();
    }

    /** Applies a change of the list that was made by discovery or on the console. */
    void changed(HostGroup.Change change) {
        for (HostGroup.Host h : change.hosts()) {
            servers.listed(h.member(), h.address());
        }
        change.left().forEach(h -> servers.left(h.member().id()));
    }

    /** Returns the version of the candidate map for the fleet view. May be called from any thread. */
    long version() {
        return service.version();
    }

    void count(ObjLongConsumer<String> to) {
        to.accept("shadow_links", copies.links());
    }

    /** Closes all links for copies. */
    void stop() {
        copies.stop();
    }
}
