package stagepier.freeze;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.fleet.FleetConfig;
import stagepier.tasks.Tasks;

/**
 * Founds the fleet anew where no majority with a memory is left: by all configured routers together, so that whatever survived is
 * heard of. Since all are needed, it is always the first of them by name that does it, and no two compete.
 */
final class FleetBootstrap {
    private static final Logger LOG = LoggerFactory.getLogger(FleetBootstrap.class);
    /** So many rounds in a row have to show that no majority has a memory: one that is just recovering shall end that. */
    private static final int ROUNDS = 2;

    private final Register register;
    private final Acceptor acceptor;
    private final Set<String> names;
    private final int majority;
    private final Tasks tasks;
    private final String self;
    private final boolean mine;
    private int shown;
    private long lastSent;
    private String fileText;

    FleetBootstrap(Register register, Acceptor acceptor, FleetConfig config, Tasks tasks) {
        this.register = register;
        this.acceptor = acceptor;
        this.tasks = tasks;
        names = config.members().keySet();
        majority = config.majority();
        self = config.self();
        mine = config.members().firstKey().equals(self);
    }

    /** Whether it is this router that founds. */
    boolean isMine() {
        return mine;
    }

    /** This router's own file was read again. */
    synchronized void file(String text) {
        fileText = text;
    }

    private synchronized String file() {
        return fileText;
    }

    /** Looks at a round of this router that failed. */
    void consider(Tally tally) throws InterruptedException {
        if (!mine) {
            return;
        }
        long others =
                tally.all().keySet().stream().filter(name -> !name.equals(self)).count();
        long last = tally.all().values().stream()
                .mapToLong(RegisterResponse::generation)
                .max()
                .orElse(0);
        long remember = tally.all().values().stream()
                .filter(r -> r.member() && r.generation() == last)
                .count();
        shown = others == names.size() - 1 && remember < majority ? shown + 1 : 0;
        if (shown >= ROUNDS) {
            shown = 0;
            found(tally);
        }
    }

    /** The latest time in milliseconds that a router knows of: by its clock, of its start, or as a generation. */
    private static long latest(RegisterResponse r) {
        return Math.max(Math.max(r.highest(), r.wall()), r.incarnation() >> Incarnations.LOW_BITS);
    }

    private void found(Tally before) throws InterruptedException {
        long highest = before.all().values().stream()
                .mapToLong(FleetBootstrap::latest)
                .max()
                .orElse(0);
        long generation =
                Math.max(Math.max(highest, lastSent) + 1, Math.max(tasks.wall().millis(), acceptor.highest() + 1));
        Tally promises = register.every(RegisterRequest.FOUND, to -> register.ask(to, generation, null, null));
        Map<String, RegisterResponse> all = promises.standing(r -> r.ok() && r.entry() != null && r.vector() != null);
        if (all.size() < names.size()) {
            LOG.info("calendar: {} of {} routers would found the fleet anew; all are needed", all.size(), names.size());
            return;
        }
        Entry base = base(generation, all);
        Map<String, Long> incarnations = new HashMap<>();
        all.forEach((name, reply) -> incarnations.put(name, reply.incarnation()));
        lastSent = generation;
        Tally founded =
                register.every(RegisterRequest.FOUNDED, to -> register.founded(to, generation, base, incarnations));
        LOG.info(
                "calendar: the fleet was founded anew as generation {} with {} of {} routers, {}",
                generation,
                founded.agreed().size(),
                names.size(),
                base.text() == null ? "closed until staff propose a calendar" : "going on");
    }

    /** What the new generation begins with. */
    private Entry base(long generation, Map<String, RegisterResponse> all) {
        Optional<RegisterResponse> best = all.values().stream()
                .filter(r -> r.generation() > 0)
                .max(Comparator.comparingLong(RegisterResponse::generation).thenComparing(RegisterResponse::ballot));
        Entry survived = best.map(RegisterResponse::entry).orElse(Entry.NONE);
        long last = Math.max(
                lastSent,
                all.values().stream()
                        .mapToLong(r -> Math.max(r.generation(), r.earlier()))
                        .max()
                        .orElse(0));
        long remember = all.values().stream()
                .filter(r -> last > 0 && r.generation() == last)
                .count();
        if (names.size() - remember < majority) {
            // At least one of any majority remembers: nothing that was accepted is lost.
            return Entry.founded(generation, survived.text(), survived.done());
        }
        // Something accepted may be lost. The file that held it lies at the router where it was proposed, or staff have
        // replaced it.
        List<String> files =
                all.values().stream().map(RegisterResponse::file).distinct().toList();
        String text = file();
        boolean alike = files.size() == 1
                && Objects.equals(files.get(0), Windows.hash(text))
                && (survived.text() == null || survived.text().equals(text));
        return Entry.founded(generation, alike ? text : null, survived.done());
    }
}
