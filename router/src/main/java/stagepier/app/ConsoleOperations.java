package stagepier.app;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.bans.Ban;
import stagepier.bans.SharedBans;
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
    private final SharedBans sharedBans;

    ConsoleOperations(
            Clock clock,
            Drain drain,
            HostGroup hosts,
            Consumer<HostGroup.Change> changeListener,
            FleetCoordinator fleet,
            SharedBans sharedBans) {
        this.fleet = fleet;
        this.clock = clock;
        this.drain = drain;
        this.hosts = hosts;
        this.changeListener = changeListener;
        this.sharedBans = sharedBans;
        if (sharedBans == null) {
            LOG.warn("TMPDIR is not set: bans from the console are lost when this process ends");
        }
    }

    /** Must run before the first list is applied, so that no request goes to a server that is already banned. */
    void start(EventLoop loop) {
        readBans();
        if (sharedBans != null) {
            loop.scheduleWithFixedDelay(
                    new GuardedTask("read bans of other processes", this::readBans),
                    BAN_POLL_INTERVAL_MS,
                    BAN_POLL_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Applies what other processes have decided until now. */
    void readBans() {
        if (sharedBans == null) {
            return;
        }
        report(hosts.apply(sharedBans.readChanges()));
        hosts.bans().forget(clock.now()).forEach(sharedBans::delete);
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
        readBans();
        if (!hosts.knows(server)) {
            return Result.no("no cache server " + server + " was ever listed");
        }
        String frozen = banned || fleet == null || !hosts.bans().isBanned(server)
                ? null
                : fleet.refusal(new Change(Change.Kind.RESTORE, server, hosts.zone(server)));
        if (frozen != null) {
            return Result.no(server + " stays out: " + frozen);
        }
        SharedBans.Decision decision = decide(server, banned);
        if (decision.ban() != null) {
            report(hosts.apply(List.of(decision.ban())));
        }
        String state = banned
                ? decision.changed() ? " is out" : " is out already"
                : decision.changed() ? " is back" : " is not out";
        return Result.yes(server + state + (decision.stored() ? "" : ", but other processes are not told yet"));
    }

    private SharedBans.Decision decide(String server, boolean banned) {
        if (sharedBans != null) {
            return sharedBans.decide(server, banned, clock.now());
        }
        Ban last = hosts.bans().latest(server);
        boolean changed = hosts.bans().isBanned(server) != banned;
        Ban next = changed ? Ban.next(server, banned, last, clock.now()) : last;
        return new SharedBans.Decision(next, changed, true);
    }

    void count(ObjLongConsumer<String> to) {
        to.accept("servers_out", hosts.bans().out());
    }
}
