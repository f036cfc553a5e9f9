package stagepier.app;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.ObjLongConsumer;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.discovery.HostGroup;
import stagepier.fleet.FleetConfig;
import stagepier.fleet.FleetConfigReader;
import stagepier.fleet.FleetService;
import stagepier.fleet.FleetView;
import stagepier.fleet.History;
import stagepier.fleet.InvalidFleetFileException;
import stagepier.fleet.Membership;
import stagepier.fleet.TcpFleetRpc;
import stagepier.freeze.AgreedSequence;
import stagepier.freeze.Calendar;
import stagepier.freeze.Change;
import stagepier.freeze.FreezeService;
import stagepier.freeze.HeldChanges;
import stagepier.settings.SettingsException;
import stagepier.shadow.CandidateException;
import stagepier.shadow.CandidateFile;
import stagepier.tasks.GuardedTask;
import stagepier.tasks.LiveTasks;
import stagepier.tasks.Tasks;

/**
 * Coordinates this router with the other members of its fleet. Owns the tasks that run outside of the event loop; the
 * event loop queries their results and never waits for them. Created only if {@code GW_FLEET} names a file. Methods are
 * called on the event loop unless stated otherwise.
 */
final class FleetCoordinator implements TopologyGate.Holder {
    private static final Logger LOG = LoggerFactory.getLogger(FleetCoordinator.class);
    /** System property by which the lab shifts the wall clock of this process, in milliseconds. */
    private static final String CLOCK_OFFSET_PROPERTY = "stagepier.clock.offset.ms";

    private static final int POLL_INTERVAL_MS = 100;
    private static final String BUILD =
            String.valueOf(FleetCoordinator.class.getPackage().getImplementationVersion());

    private final FleetConfig config;
    private final Tasks tasks;
    private final TcpFleetRpc rpc;
    private final History history = HistoryLog.get();
    private final Membership membership;
    /** Null if there is no freeze calendar. */
    private final FreezeService freeze;
    /** Null if there is no freeze calendar. */
    private final HeldChanges<Runnable> held;

    private final long seed;
    /** Null if there is no candidate map. */
    private ShadowCoordinator shadow;

    private AgreedSequence promotions;
    private final List<FleetService> services = new ArrayList<>();

    /** @throws Config.InvalidConfigException with a message of one line that names the file, line, key and error */
    static FleetCoordinator read(String file, String self, long seed) throws Config.InvalidConfigException {
        try {
            FleetConfig config = FleetConfigReader.read(Path.of(file), self);
            if (config.candidate() != null) {
                // Validated before anything starts, as the other files are.
                CandidateFile.read(config.candidate());
            }
            return new FleetCoordinator(config, seed);
        } catch (InvalidFleetFileException | SettingsException | CandidateException | IOException e) {
            throw new Config.InvalidConfigException(e.getMessage());
        }
    }

    private FleetCoordinator(FleetConfig config, long seed) {
        this.config = config;
        this.seed = seed;
        tasks = new LiveTasks(
                Clock.offset(Clock.systemUTC(), Duration.ofMillis(Long.getLong(CLOCK_OFFSET_PROPERTY, 0))));
        rpc = new TcpFleetRpc(tasks, config, seed);
        membership = new Membership(tasks, rpc, config, history, seed + 1);
        services.add(membership);
        freeze = config.calendar() == null ? null : new FreezeService(tasks, rpc, config, history, seed + 2);
        if (freeze != null) {
            services.add(freeze);
        }
        held = freeze == null ? null : freeze.holder();
    }

    private Calendar calendar() {
        return freeze == null ? Calendar.NONE : freeze.calendar();
    }

    /** Sets up the shadow map if there is a candidate. Called before the start, once the router's components exist. */
    void setUpShadow(ShadowCoordinator.RouterContext context) {
        if (config.candidate() == null) {
            return;
        }
        promotions = new AgreedSequence("promotion", tasks, rpc, config, history, seed + 3);
        shadow = new ShadowCoordinator(
                new ShadowCoordinator.FleetContext(
                        tasks,
                        rpc,
                        config,
                        HistoryLog.INCARNATION,
                        membership::view,
                        this::calendar,
                        ShadowCoordinator.agreement(promotions),
                        history),
                context);
        services.add(shadow.service());
    }

    /** Returns the number of descriptors reserved for calls between routers and for links for copies. */
    int reservedDescriptors(int sockets) {
        return 2 * config.members().size() + (config.candidate() == null ? 0 : ShadowCoordinator.maxLinks(sockets));
    }

    /** Applies a change of the list of cache servers. */
    void changed(HostGroup.Change change) {
        if (shadow != null) {
            shadow.changed(change);
        }
    }

    void count(ObjLongConsumer<String> to) {
        if (shadow != null) {
            shadow.count(to);
        }
    }

    /** @param zones zone names in the order of their indexes in the settings */
    void start(EventLoop loop, HostGroup hosts, List<String> zones, TopologyGate.DelayedAdmission delayedAdmission) {
        if (freeze != null) {
            hosts.setAdmission(new TopologyGate(this, zones, delayedAdmission));
        }
        services.forEach(FleetService::start);
        if (shadow != null) {
            promotions.start();
            shadow.start();
        }
        rpc.start();
        loop.scheduleWithFixedDelay(
                new GuardedTask("poll the fleet", () -> poll(hosts)),
                POLL_INTERVAL_MS,
                POLL_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    private void poll(HostGroup hosts) {
        if (held != null) {
            held.due(tasks.wall().instant(), tasks.nanoTime()).forEach(Runnable::run);
        }
        membership.facts(new FleetView.Facts(
                BUILD,
                config.hash(),
                hosts.generation(),
                freeze == null ? 0 : freeze.version(),
                shadow == null ? 0 : shadow.version()));
    }

    @Override
    public boolean offer(Change change, Runnable later) {
        return held == null || held.offer(change, later, tasks.wall().instant(), tasks.nanoTime());
    }

    @Override
    public void overtaken(String server) {
        if (held != null) {
            held.overtaken(server);
        }
    }

    /** Returns why the calendar forbids a change that was requested on the console, or null if it allows the change. */
    String refusal(Change change) {
        Calendar.Answer answer = calendar().ask(change, tasks.wall().instant(), tasks.nanoTime());
        boolean open = answer.permit() == Calendar.Permit.OPEN;
        history.write(
                open ? "topology.admitted" : "topology.refused",
                "kind",
                change.kind().name(),
                "server",
                change.server(),
                "zone",
                change.zone(),
                "calendar",
                calendar().version());
        return open
                ? null
                : answer.permit() == Calendar.Permit.FROZEN
                        ? "frozen by " + answer.reason()
                        : "the calendar is unknown: " + answer.reason();
    }

    /** Reads the files of all services again. May be called from any thread. */
    void reload() {
        services.forEach(FleetService::reload);
    }

    /** Returns the lines for the answer to {@code STATUS}. */
    List<String> status() {
        return Stream.concat(Stream.of(rpc.status()), services.stream().flatMap(service -> service.status().stream()))
                .toList();
    }

    /** Announces to the other members that this process is ending, so that they do not suspect it of a failure. */
    void leave() {
        membership.leave();
    }

    /** Stops the shadow map and the tasks. Does not wait, so that a hanging task does not delay the drain. */
    void stop() {
        if (shadow != null) {
            shadow.stop();
        }
        Thread end = new Thread(tasks::stop, "fleet-stop");
        end.setDaemon(true);
        end.start();
        LOG.debug("stopping the tasks of the fleet");
    }
}
