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

/** Executes console commands on the running router. Runs on the event loop. */
final class ConsoleOperations implements Operations {
    private static final Logger LOG = LoggerFactory.getLogger(ConsoleOperations.class);
    /** Interval at which bans saved by other processes are read; well below the grace period of the drain rule. */
    private static final int BAN_POLL_INTERVAL_MS = 100;

    private final Clock clock;
    private final Drain drain;
    private final HostGroup hosts;
    private final Consumer<HostGroup.Change> changeListener;
    /** Null if this router is not part of a fleet. */
    private final FleetCoordinator fleet;
    /** Null if there is no shared folder. */
    private final BanFiles files;

    ConsoleOperations(
            Clock clock,
            Drain drain,
            HostGroup hosts,
            Consumer<HostGroup.Change> changeListener,
            FleetCoordinator fleet) {
        this.fleet = fleet;
        this.clock = clock;
        this.drain = drain;
        this.hosts = hosts;
        this.changeListener = changeListener;
        String shared = System.getenv("TMPDIR");
        files = shared == null || shared.isEmpty() ? null : new BanFiles(Path.of(shared));
        if (files == null) {
            LOG.warn("TMPDIR is not set: bans from the console are lost when this process ends");
        }
    }

    /** Must run before the first list is applied, so that no request goes to a server that is already banned. */
    void start(EventLoop loop) {
        if (files != null) {
            readBans();
            loop.scheduleWithFixedDelay(
                    new GuardedTask("read bans of other processes", this::readBans),
                    BAN_POLL_INTERVAL_MS,
                    BAN_POLL_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void readBans() {
        report(hosts.apply(files.readChanges()));
        hosts.bans().forget(clock.now()).forEach(files::delete);
    }

    private void report(HostGroup.Change change) {
        if (!change.hosts().isEmpty()) {
            changeListener.accept(change);
        }
    }

    @Override
    public Result call(ConsoleCommand command) {
        if (command instanceof ConsoleCommand.Suspend suspend) {
            return setBanned(suspend.server(), true);
        }
        if (command instanceof ConsoleCommand.Restore restore) {
            return setBanned(restore.server(), false);
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

    private Result setBanned(String server, boolean banned) {
        if (!hosts.knows(server)) {
            return Result.no("no cache server " + server + " was ever listed");
        }
        if (hosts.bans().isBanned(server) == banned) {
            return Result.yes(server + (banned ? " is out already" : " is not out"));
        }
        String frozen = banned || fleet == null
                ? null
                : fleet.refusal(new Change(Change.Kind.RESTORE, server, hosts.zone(server)));
        if (frozen != null) {
            return Result.no(server + " stays out: " + frozen);
        }
        Ban ban = new Ban(server, banned, hosts.bans().stamp(server, clock.now()));
        String saveWarning = files == null || files.save(ban) ? "" : ", but other processes are not told yet";
        report(hosts.apply(List.of(ban)));
        return Result.yes(server + (banned ? " is out" : " is back") + saveWarning);
    }

    void count(ObjLongConsumer<String> to) {
        to.accept("servers_out", hosts.bans().out());
    }
}
