package stagepier.freeze;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.fleet.FleetConfig;
import stagepier.fleet.FleetRpc;
import stagepier.fleet.FleetService;
import stagepier.fleet.History;
import stagepier.settings.SettingsException;
import stagepier.tasks.Tasks;

/**
 * The freeze calendar of one router: its own file, the agreement with the fleet, and the snapshot that the event loop
 * reads.
 */
public final class FreezeService implements FleetService {
    private static final Logger LOG = LoggerFactory.getLogger(FreezeService.class);

    /** Minimum interval between held changes: a new server is filled by its share of the misses in about this time. */
    private static final Duration MIN_INTERVAL = Duration.ofSeconds(2);

    private final Tasks tasks;
    private final FleetConfig config;
    private final History history;
    private final Path file;
    private final Supplier<Windows> source;
    private final Acceptor acceptor;
    private final Register register;
    private volatile Windows ownWindows;
    private volatile LeasedCalendar calendar = LeasedCalendar.closed(Version.NONE, "not confirmed since the start");
    private volatile long confirmedNano;
    private volatile boolean wasConfirmed;
    private volatile String unknownReason = "not confirmed since the start";
    private volatile IntSupplier heldCount = () -> 0;
    /** Whether a warning that the calendar is unknown has been logged. */
    private boolean unknownReported;

    /**
     * Reads the router's own file.
     *
     * @param config with the path of a calendar file
     * @param seed   for random values: back-off after competing ballots, low bits of the incarnation
     * @throws IllegalArgumentException if the file cannot be read or is invalid; the message is one line
     */
    public FreezeService(Tasks tasks, FleetRpc calls, FleetConfig config, History history, long seed) {
        this(
                tasks,
                calls,
                config,
                history,
                seed,
                () -> CalendarFile.read(config.calendar()),
                new Acceptor(
                        config.self(),
                        Incarnations.first(tasks.wall(), seed),
                        () -> tasks.wall().millis(),
                        history));
    }

    FreezeService(
            Tasks tasks,
            FleetRpc calls,
            FleetConfig config,
            History history,
            long seed,
            Supplier<Windows> source,
            Acceptor acceptor) {
        this.tasks = tasks;
        this.config = config;
        this.history = history;
        this.acceptor = acceptor;
        this.source = source;
        file = config.calendar();
        try {
            ownWindows = source.get();
        } catch (SettingsException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        register = new Register(
                tasks,
                calls,
                config,
                history,
                acceptor,
                new Register.Listener() {
                    @Override
                    public void confirmed(
                            Entry accepted, long startNano, long startWallMs, ClockComparison.Offset offset) {
                        FreezeService.this.onConfirmed(accepted, startNano, startWallMs, offset);
                    }

                    @Override
                    public void unconfirmed(String reason) {
                        unknownReason = reason;
                        warnWhenLeaseExpired();
                    }
                },
                ownWindows.text(),
                seed);
    }

    /** Returns the current snapshot; the event loop fetches it anew for each query. */
    public Calendar calendar() {
        return calendar;
    }

    /** Returns the last version that this router knows to be accepted. */
    Version learned() {
        return acceptor.learned().version();
    }

    /** Returns the last version that this router knows to be accepted, packed; 0 for none. For the fleet view. */
    public long version() {
        return acceptor.learned().version().packed();
    }

    /** Creates the queue of changes held by this calendar, whose size {@code STATUS} shows. To be called once. */
    public <T> HeldChanges<T> holder() {
        HeldChanges<T> holder = new HeldChanges<>(
                this::calendar, history, Register.fleet(config).hashCode(), interval());
        heldCount = holder::size;
        return holder;
    }

    /** Returns the interval between two held changes that are applied after the calendar opens. */
    Duration interval() {
        return config.skew().compareTo(MIN_INTERVAL) > 0 ? config.skew() : MIN_INTERVAL;
    }

    @Override
    public void start() {
        confirmedNano = tasks.nanoTime();
        register.start();
    }

    @Override
    public void reload() {
        try {
            ownWindows = source.get();
        } catch (SettingsException e) {
            LOG.error("{}; keeping the current calendar", e.getMessage());
            return;
        }
        Entry learned = acceptor.learned();
        if (ownWindows.text().equals(learned.text())) {
            LOG.info("calendar: {} equals the accepted calendar {}", file, learned.version());
            register.fileReloaded(ownWindows.text());
            return;
        }
        LOG.info("calendar: proposing {} to the fleet", file);
        register.propose(ownWindows.text());
    }

    private void onConfirmed(Entry accepted, long startNano, long startWallMs, ClockComparison.Offset offset) {
        if (accepted.text() == null) {
            closeCalendar(
                    accepted.version(),
                    "the fleet was founded anew and what was accepted may be lost: propose the calendar (SIGHUP)");
            return;
        }
        if (!offset.withinSkew()) {
            closeCalendar(accepted.version(), "the wall clock is " + offset + " against the middle of a majority");
            return;
        }
        LeasedCalendar renewed = calendar.renew(accepted.version(), startNano, startWallMs);
        if (renewed == null) {
            try {
                renewed = LeasedCalendar.of(
                        accepted.version(),
                        Windows.read(accepted.text()),
                        startNano,
                        Instant.ofEpochMilli(startWallMs),
                        config.lease(),
                        config.skew());
            } catch (IllegalArgumentException e) {
                closeCalendar(accepted.version(), "the accepted calendar cannot be read by this build");
                return;
            }
            recordWindows(accepted);
            if (!accepted.text().equals(ownWindows.text())) {
                LOG.info("calendar: {} accepted; this router's file {} differs", accepted.version(), file);
            }
        }
        boolean changed =
                !wasConfirmed || unknownReported || !calendar.accepted().equals(accepted.version());
        calendar = renewed;
        confirmedNano = startNano;
        wasConfirmed = true;
        history.write(
                "calendar.lease",
                "version",
                accepted.version().toString(),
                "start",
                startNano,
                "offset_ms",
                offset.ms());
        if (changed) {
            LOG.info(
                    "calendar: {} confirmed, {}",
                    accepted.version(),
                    renewed.state(tasks.wall().instant(), tasks.nanoTime()));
        }
        unknownReported = false;
    }

    /**
     * Records the windows of a version in the history for the checker, as {@code START..END SCOPE} in milliseconds
     * since 1970, for the next day.
     */
    private void recordWindows(Entry accepted) {
        Instant now = tasks.wall().instant();
        history.write(
                "calendar.windows",
                "version",
                accepted.version().toString(),
                "windows",
                Windows.read(accepted.text()).spans(now, now.plus(Duration.ofDays(1))).stream()
                        .map(s -> s.startMs() + ".." + s.endMs() + " "
                                + s.window().scope())
                        .toList());
    }

    private void closeCalendar(Version version, String reason) {
        calendar = LeasedCalendar.closed(version, reason);
        unknownReason = reason;
        if (!unknownReported) {
            LOG.warn("calendar: unknown, holding voluntary changes: {}", reason);
        }
        unknownReported = true;
    }

    /** Logs one warning when the lease has expired. */
    private void warnWhenLeaseExpired() {
        if (!unknownReported
                && tasks.nanoTime() - confirmedNano > config.lease().toNanos()) {
            LOG.warn("calendar: unknown, holding voluntary changes: {}", unknownReason);
            unknownReported = true;
        }
    }

    @Override
    public List<String> status() {
        long nano = tasks.nanoTime();
        String state = calendar.state(tasks.wall().instant(), nano);
        if (state.startsWith("unknown")) {
            Duration since = Duration.ofNanos(nano - confirmedNano);
            state = "unknown: " + unknownReason
                    + (wasConfirmed ? ", last confirmed " + since.toSeconds() + " s ago" : "");
        }
        Entry learned = acceptor.learned();
        String version = learned.version().equals(Version.NONE)
                ? "none"
                : learned.version().toString();
        return List.of("calendar " + version + " " + state + "; held " + heldCount.getAsInt()
                + (register.hasPendingProposal() ? "; a proposal of this router waits" : "")
                + (learned.text() == null || learned.text().equals(ownWindows.text()) ? "" : "; own file differs"));
    }
}
