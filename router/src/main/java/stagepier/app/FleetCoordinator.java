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
 * What this router decides together with others: owns the tasks beside the event loop, and is asked by the loop, which never waits for
 * them. Made only where {@code GW_FLEET} names a file. All that is not said otherwise is called on the event loop.
 */
final class FleetCoordinator implements TopologyGate.Holder {
    private static final Logger LOG = LoggerFactory.getLogger(FleetCoordinator.class);
    /** By how much the lab sets this process's wall clock off, in milliseconds. */
    private static final String OFFSET = "stagepier.clock.offset.ms";

    private static final int LOOK_MS = 100;
    private static final String BUILD =
            String.valueOf(FleetCoordinator.class.getPackage().getImplementationVersion());

    private final FleetConfig config;
    private final Tasks tasks;
    private final TcpFleetRpc calls;
    private final History history = HistoryLog.get();
    private final Membership view;
    /** Null where there is no calendar. */
    private final FreezeService freeze;
    /** Null where there is no calendar. */
    private final HeldChanges<Runnable> held;

    private final long seed;
    /** Null where there is no candidate map. */
    private ShadowCoordinator shadow;

    private AgreedSequence promotions;
    private final List<FleetService> parts = new ArrayList<>();

    /** @throws Config.InvalidConfigException one line: file, line, key and what is wrong */
    static FleetCoordinator read(String file, String self, long seed) throws Config.InvalidConfigException {
        try {
            FleetConfig config = FleetConfigReader.read(Path.of(file), self);
            if (config.candidate() != null) {
                // A slip in it is told before anything starts, as those in the other files are.
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
        tasks = new LiveTasks(Clock.offset(Clock.systemUTC(), Duration.ofMillis(Long.getLong(OFFSET, 0))));
        calls = new TcpFleetRpc(tasks, config, seed);
        view = new Membership(tasks, calls, config, history, seed + 1);
        parts.add(view);
        freeze = config.calendar() == null ? null : new FreezeService(tasks, calls, config, history, seed + 2);
        if (freeze != null) {
            parts.add(freeze);
        }
        held = freeze == null ? null : freeze.holder();
    }

    private Calendar calendar() {
        return freeze == null ? Calendar.NONE : freeze.calendar();
    }

    /** Before the start, once the router's parts are there: tries the candidate map beside the real one, where there is one. */
    void tryCandidate(ShadowCoordinator.Own own) {
        if (config.candidate() == null) {
            return;
        }
        promotions = new AgreedSequence("promotion", tasks, calls, config, history, seed + 3);
        shadow = new ShadowCoordinator(
                new ShadowCoordinator.Fleet(
                        tasks,
                        calls,
                        config,
                        HistoryLog.STARTED,
                        view::view,
                        this::calendar,
                        ShadowCoordinator.agreement(promotions),
                        history),
                own);
        parts.add(shadow.part());
    }

    /** Descriptors that clients must leave: calls to and from each other router, and links for copies. */
    int descriptors(int sockets) {
        return 2 * config.members().size() + (config.candidate() == null ? 0 : ShadowCoordinator.links(sockets));
    }

    /** What is taken up of the list. */
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

    /** @param zones names of zones, as the settings number them */
    void start(EventLoop loop, HostGroup hosts, List<String> zones, TopologyGate.Later later) {
        if (freeze != null) {
            hosts.setAdmission(new TopologyGate(this, zones, later));
        }
        parts.forEach(FleetService::start);
        if (shadow != null) {
            promotions.start();
            shadow.start();
        }
        calls.start();
        loop.scheduleWithFixedDelay(
                new GuardedTask("look at the fleet", () -> look(hosts)), LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    private void look(HostGroup hosts) {
        if (held != null) {
            held.due(tasks.wall().instant(), tasks.nanoTime()).forEach(Runnable::run);
        }
        view.facts(new FleetView.Facts(
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

    /** Why a change that staff ask for may not be made now; null where it may. */
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

    /** From any thread. */
    void reload() {
        parts.forEach(FleetService::reload);
    }

    /** The lines of {@code STATUS}. */
    List<String> status() {
        return Stream.concat(Stream.of(calls.status()), parts.stream().flatMap(p -> p.status().stream()))
                .toList();
    }

    /** The process is told to end: others hear that it left, and need not suspect it. */
    void leave() {
        view.leave();
    }

    /** The process ends. Does not wait: a task that hangs keeps nothing from draining. */
    void stop() {
        if (shadow != null) {
            shadow.stop();
        }
        Thread end = new Thread(tasks::stop, "fleet-stop");
        end.setDaemon(true);
        end.start();
        LOG.debug("the fleet's tasks are told to end");
    }
}
