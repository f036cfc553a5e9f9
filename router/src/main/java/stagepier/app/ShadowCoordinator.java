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
 * The two halves of the shadow put together: copies on the event loop, and the part beside it. Made only where {@code fleet.toml}
 * names a candidate. All that is not said otherwise is called on the event loop.
 */
final class ShadowCoordinator {
    /** Part of all descriptors that copies may take, and how many at the least and the most. */
    private static final double LINKS_PART = 0.02;

    private static final int LINKS_LEAST = 4;
    private static final int LINKS_MOST = 64;

    private final ShadowService part;
    private final ServerStates servers;
    private final ShadowCopies copies;

    /**
     * What it has of the part of the router that the fleet's work is.
     *
     * @param incarnation of this process, as its histories have it: above 0, and never that of another one of its name
     */
    record Fleet(
            Tasks tasks,
            FleetRpc calls,
            FleetConfig config,
            long incarnation,
            Supplier<FleetView> view,
            Supplier<Calendar> calendar,
            Agreement agreement,
            History history) {}

    /** What it has of the router itself. */
    record Own(
            EventLoop loop,
            Clock clock,
            SettingsParser.Parsed settings,
            int sockets,
            ModuleHost host,
            Pressure pressure,
            Drain drain) {}

    ShadowCoordinator(Fleet fleet, Own own) {
        Api.Settings settings = own.settings().settings();
        servers = new ServerStates(
                settings.protection().warmUp(),
                (now, server) -> own.host().avoidsOptionalLoad(now, server) ? Eligibility.CROWDED : Eligibility.FIT);
        part = new ShadowService(new ShadowService.Parts(
                fleet.tasks(),
                fleet.calls(),
                fleet.config(),
                fleet.incarnation(),
                fleet.view(),
                fleet.calendar(),
                fleet.agreement(),
                servers::members,
                settings.weights() == Api.WeightMeaning.SIZE,
                own.settings().names().zones(),
                own.settings().names().kinds(),
                fleet.history()));
        RouterState router = new RouterState() {
            @Override
            public boolean isPressed() {
                return own.pressure().state() != Pressure.State.NORMAL;
            }

            @Override
            public boolean isDraining() {
                return !own.drain().isReady();
            }
        };
        // Ids of copies differ by router and by process; clients' ids are not known to look like this.
        String ids = "s" + Long.toHexString(fleet.config().self().hashCode() & 0xffffffffL)
                + Long.toHexString(fleet.incarnation()) + "x";
        copies = new ShadowCopies(new ShadowCopies.Parts(
                own.loop(),
                own.clock(),
                ServerPools.sockets(own.loop(), settings.limits().connectTimeout()),
                own.settings(),
                links(own.sockets()),
                ids,
                router,
                servers,
                fleet.tasks()::nanoTime,
                part::orders,
                part::counted,
                part::promoted,
                own.host()::promoted,
                fleet.history()));
        own.host().connectShadow(copies);
    }

    /** Descriptors that copies take at the most. */
    static int links(int sockets) {
        return Math.max(LINKS_LEAST, Math.min(LINKS_MOST, (int) (LINKS_PART * sockets)));
    }

    /** What the fleet agrees on, as promotions need it: one sequence, whatever the topic. */
    static Agreement agreement(AgreedSequence texts) {
        return new Agreement() {
            @Override
            public boolean propose(String topic, String text, Duration most) throws InterruptedException {
                return texts.propose(text, most);
            }

            @Override
            public Optional<Accepted> latest(String topic) {
                return Optional.ofNullable(texts.last()).map(last -> new Accepted(last.version(), last.text()));
            }
        };
    }

    /** To be started, asked for its lines and told of files with the others. */
    FleetService part() {
        return part;
    }

    void start() {
        copies.start();
    }

    /** What discovery or staff have changed of the list, as it is taken up. */
    void changed(HostGroup.Change change) {
        for (HostGroup.Host h : change.hosts()) {
            servers.listed(h.member(), h.address());
        }
        change.left().forEach(h -> servers.left(h.member().id()));
    }

    /** Version of the candidate, for the view; from any thread. */
    long version() {
        return part.version();
    }

    void count(ObjLongConsumer<String> to) {
        to.accept("shadow_links", copies.links());
    }

    /** Gives back all links for copies. */
    void stop() {
        copies.stop();
    }
}
