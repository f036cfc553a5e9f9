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

/** The freeze calendar of one router: its own file, the agreement with the others, and what the event loop may rely on. */
public final class FreezeService implements FleetService {
    private static final Logger LOG = LoggerFactory.getLogger(FreezeService.class);

    /** A server that comes new is filled by its share of the misses in about this time. */
    private static final Duration SPACING_LEAST = Duration.ofSeconds(2);

    private final Tasks tasks;
    private final FleetConfig config;
    private final History history;
    private final Path file;
    private final Supplier<Windows> source;
    private final Acceptor acceptor;
    private final Register register;
    private volatile Windows own;
    private volatile LeasedCalendar calendar = LeasedCalendar.closed(Version.NONE, "not confirmed since the start");
    private volatile long confirmedNano;
    private volatile boolean wasConfirmed;
    private volatile String why = "not confirmed since the start";
    private volatile IntSupplier held = () -> 0;
    /** Whether it was said that the calendar is unknown. */
    private boolean unknownReported;

    /**
     * Reads the router's own file.
     *
     * @param config with a calendar's file
     * @param seed   for what is drawn: waits after ballots that met another, low bits of the incarnation
     * @throws IllegalArgumentException where the file cannot be read or makes no sense: one line
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
            own = source.get();
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
                    public void confirmed(Entry accepted, long startNano, long startWallMs, Clocks.Offset offset) {
                        FreezeService.this.confirmed(accepted, startNano, startWallMs, offset);
                    }

                    @Override
                    public void unconfirmed(String reason) {
                        why = reason;
                        sayWhenOver();
                    }
                },
                own.text(),
                seed);
    }

    /** What is accepted and can be relied on now; the event loop takes a new one each time that it asks. */
    public Calendar calendar() {
        return calendar;
    }

    /** The last version that this router knows to be accepted. */
    Version learned() {
        return acceptor.learned().version();
    }

    /** The last version that this router knows to be accepted, packed; 0 for none. For the view of the fleet. */
    public long version() {
        return acceptor.learned().version().packed();
    }

    /** What holds changes for the event loop by this calendar; {@code STATUS} counts them. Once. */
    public <T> HeldChanges<T> holder() {
        HeldChanges<T> holder = new HeldChanges<>(
                this::calendar, history, Register.fleet(config).hashCode(), interval());
        held = holder::size;
        return holder;
    }

    /** Between two held changes that are taken up once the calendar opens. */
    Duration interval() {
        return config.skew().compareTo(SPACING_LEAST) > 0 ? config.skew() : SPACING_LEAST;
    }

    @Override
    public void start() {
        confirmedNano = tasks.nanoTime();
        register.start();
    }

    @Override
    public void reload() {
        try {
            own = source.get();
        } catch (SettingsException e) {
            LOG.error("{}; the calendar stays as it was", e.getMessage());
            return;
        }
        Entry learned = acceptor.learned();
        if (own.text().equals(learned.text())) {
            LOG.info("calendar: {} says what is accepted as {}", file, learned.version());
            register.same(own.text());
            return;
        }
        LOG.info("calendar: {} is proposed to the fleet", file);
        register.propose(own.text());
    }

    private void confirmed(Entry accepted, long startNano, long startWallMs, Clocks.Offset offset) {
        if (accepted.text() == null) {
            close(
                    accepted.version(),
                    "the fleet was founded anew and what was accepted may be lost: propose the calendar (SIGHUP)");
            return;
        }
        if (!offset.good()) {
            close(accepted.version(), "the wall clock is " + offset + " against the middle of a majority");
            return;
        }
        LeasedCalendar again = calendar.again(accepted.version(), startNano, startWallMs);
        if (again == null) {
            try {
                again = LeasedCalendar.of(
                        accepted.version(),
                        Windows.read(accepted.text()),
                        startNano,
                        Instant.ofEpochMilli(startWallMs),
                        config.lease(),
                        config.skew());
            } catch (IllegalArgumentException e) {
                close(accepted.version(), "the accepted calendar cannot be read by this build");
                return;
            }
            tellWindows(accepted);
            if (!accepted.text().equals(own.text())) {
                LOG.info("calendar: {} is accepted; {} says something else", accepted.version(), file);
            }
        }
        boolean news = !wasConfirmed || unknownReported || !calendar.accepted().equals(accepted.version());
        calendar = again;
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
        if (news) {
            LOG.info(
                    "calendar: {} confirmed, {}",
                    accepted.version(),
                    again.state(tasks.wall().instant(), tasks.nanoTime()));
        }
        unknownReported = false;
    }

    /** So that a checker knows what a version forbids: {@code START..END SCOPE} in milliseconds since 1970, for a day. */
    private void tellWindows(Entry accepted) {
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

    private void close(Version version, String reason) {
        calendar = LeasedCalendar.closed(version, reason);
        why = reason;
        if (!unknownReported) {
            LOG.warn("calendar: unknown and therefore closed: {}", reason);
        }
        unknownReported = true;
    }

    /** One line when the lease has run out. */
    private void sayWhenOver() {
        if (!unknownReported
                && tasks.nanoTime() - confirmedNano > config.lease().toNanos()) {
            LOG.warn("calendar: unknown and therefore closed: {}", why);
            unknownReported = true;
        }
    }

    @Override
    public List<String> status() {
        long nano = tasks.nanoTime();
        String state = calendar.state(tasks.wall().instant(), nano);
        if (state.startsWith("unknown")) {
            Duration since = Duration.ofNanos(nano - confirmedNano);
            state = "unknown: " + why + (wasConfirmed ? ", last confirmed " + since.toSeconds() + " s ago" : "");
        }
        Entry learned = acceptor.learned();
        String version = learned.version().equals(Version.NONE)
                ? "none"
                : learned.version().toString();
        return List.of("calendar " + version + " " + state + "; held " + held.getAsInt()
                + (register.waits() ? "; a proposal of this router waits" : "")
                + (learned.text() == null || learned.text().equals(own.text()) ? "" : "; own file differs"));
    }
}
