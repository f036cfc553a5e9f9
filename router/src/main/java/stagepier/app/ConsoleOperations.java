package stagepier.app;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.bans.Ban;
import stagepier.bans.BanFiles;
import stagepier.console.ConsoleCommand;
import stagepier.console.Operations;
import stagepier.discovery.HostGroup;
import stagepier.drain.Drain;
import stagepier.exchange.Clock;
import stagepier.freeze.Change;
import stagepier.tasks.GuardedTask;

/** Does what staff ask of the running router. On the event loop. */
final class ConsoleOperations implements Operations {
    private static final Logger LOG = LoggerFactory.getLogger(ConsoleOperations.class);
    /** What another process was told is looked for so often: well inside the grace of the drain rule. */
    private static final int LOOK_MS = 100;

    private final Clock clock;
    private final Drain drain;
    private final HostGroup hosts;
    private final Consumer<HostGroup.Change> changed;
    /** Null where this router decides nothing together with others. */
    private final FleetCoordinator fleet;
    /** Null where there is no folder to share. */
    private final BanFiles files;

    ConsoleOperations(
            Clock clock, Drain drain, HostGroup hosts, Consumer<HostGroup.Change> changed, FleetCoordinator fleet) {
        this.fleet = fleet;
        this.clock = clock;
        this.drain = drain;
        this.hosts = hosts;
        this.changed = changed;
        String shared = System.getenv("TMPDIR");
        files = shared == null || shared.isEmpty() ? null : new BanFiles(Path.of(shared));
        if (files == null) {
            LOG.warn("TMPDIR names no folder: what staff take out is forgotten when this process ends");
        }
    }

    /** Before the first list is applied, so that nothing is sent to who was out before this process began. */
    void start(EventLoop loop) {
        if (files != null) {
            look();
            loop.scheduleWithFixedDelay(
                    new GuardedTask("look for bans of other processes", this::look),
                    LOOK_MS,
                    LOOK_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void look() {
        report(hosts.apply(files.readChanges()));
        hosts.bans().forget(clock.now()).forEach(files::delete);
    }

    private void report(HostGroup.Change change) {
        if (!change.hosts().isEmpty()) {
            changed.accept(change);
        }
    }

    @Override
    public Result call(ConsoleCommand command) {
        if (command instanceof ConsoleCommand.Suspend suspend) {
            return say(suspend.server(), true);
        }
        if (command instanceof ConsoleCommand.Restore restore) {
            return say(restore.server(), false);
        }
        if (command instanceof ConsoleCommand.Pause) {
            drain.pause(clock.now());
            return Result.yes("clients are sent away");
        }
        if (command instanceof ConsoleCommand.Resume) {
            return drain.resume() ? Result.yes("clients may come") : Result.no("this process ends");
        }
        return fleet == null ? status() : status().with(fleet.status());
    }

    private Result status() {
        return switch (drain.state()) {
            case STARTING -> Result.no("starting");
            case SERVING -> Result.yes("serving");
            case PAUSED -> Result.no("paused: clients are sent away until RESUME");
            case ENDING -> Result.no("ending");
        };
    }

    private Result say(String server, boolean out) {
        if (!hosts.knows(server)) {
            return Result.no("no cache server " + server + " was ever listed");
        }
        if (hosts.bans().isBanned(server) == out) {
            return Result.yes(server + (out ? " is out already" : " is not out"));
        }
        String frozen = out || fleet == null
                ? null
                : fleet.refusal(new Change(Change.Kind.RESTORE, server, hosts.zone(server)));
        if (frozen != null) {
            return Result.no(server + " stays out: " + frozen);
        }
        Ban ban = new Ban(server, out, hosts.bans().stamp(server, clock.now()));
        String kept = files == null || files.save(ban) ? "" : ", but other processes are not told yet";
        report(hosts.apply(List.of(ban)));
        return Result.yes(server + (out ? " is out" : " is back") + kept);
    }

    void count(ObjLongConsumer<String> to) {
        to.accept("servers_out", hosts.bans().out());
    }
}
