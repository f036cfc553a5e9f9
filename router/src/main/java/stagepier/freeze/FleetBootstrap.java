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
 * Founds the fleet as a new generation when no majority of the routers has state, as at the first start. All configured
 * routers have to take part, so that any surviving state is found. Since all are needed, the first router by name
 * always runs the founding and no two routers compete.
 */
final class FleetBootstrap {
    private static final Logger LOG = LoggerFactory.getLogger(FleetBootstrap.class);
    /**
     * Number of consecutive rounds that have to show that no majority has state, so that a router that is just
     * recovering does not cause a founding.
     */
    private static final int REQUIRED_FAILED_ROUNDS = 2;

    private final Register register;
    private final Acceptor acceptor;
    private final Set<String> names;
    private final int majority;
    private final Tasks tasks;
    private final String self;
    private final boolean isFounder;
    private int failedRounds;
    private long lastFoundedGeneration;
    private String fileText;

    FleetBootstrap(Register register, Acceptor acceptor, FleetConfig config, Tasks tasks) {
        this.register = register;
        this.acceptor = acceptor;
        this.tasks = tasks;
        names = config.members().keySet();
        majority = config.majority();
        self = config.self();
        isFounder = config.members().firstKey().equals(self);
    }

    /** Whether this router is the one that runs foundings. */
    boolean isFounder() {
        return isFounder;
    }

    /** Sets the text of this router's own file after it was read. */
    synchronized void setFileText(String text) {
        fileText = text;
    }

    private synchronized String fileText() {
        return fileText;
    }

    /** Founds the fleet if this failed round and the ones before it show that no majority has state. */
    void onFailedRound(Tally tally) throws InterruptedException {
        if (!isFounder) {
            return;
        }
        long otherReplies = tally.replies().keySet().stream()
                .filter(name -> !name.equals(self))
                .count();
        long last = tally.replies().values().stream()
                .mapToLong(RegisterResponse::generation)
                .max()
                .orElse(0);
        long members = tally.replies().values().stream()
                .filter(r -> r.member() && r.generation() == last)
                .count();
        failedRounds = otherReplies == names.size() - 1 && members < majority ? failedRounds + 1 : 0;
        if (failedRounds >= REQUIRED_FAILED_ROUNDS) {
            failedRounds = 0;
            foundFleet(tally);
        }
    }

    /** The latest time that a router knows of, in milliseconds: its clock, its start, or a generation. */
    private static long latestTimeMs(RegisterResponse r) {
        return Math.max(Math.max(r.highest(), r.wall()), r.incarnation() >> Incarnations.LOW_BITS);
    }

    private void foundFleet(Tally failedRound) throws InterruptedException {
        long highest = failedRound.replies().values().stream()
                .mapToLong(FleetBootstrap::latestTimeMs)
                .max()
                .orElse(0);
        long generation = Math.max(
                Math.max(highest, lastFoundedGeneration) + 1,
                Math.max(tasks.wall().millis(), acceptor.highestGeneration() + 1));
        Tally promises = register.queryAll(RegisterRequest.FOUND, to -> register.request(to, generation, null, null));
        Map<String, RegisterResponse> all = promises.valid(r -> r.ok() && r.entry() != null && r.vector() != null);
        if (all.size() < names.size()) {
            LOG.info(
                    "calendar: cannot found the fleet: {} of {} routers agreed, all are needed",
                    all.size(),
                    names.size());
            return;
        }
        Entry initial = initialEntry(generation, all);
        Map<String, Long> incarnations = new HashMap<>();
        all.forEach((name, reply) -> incarnations.put(name, reply.incarnation()));
        lastFoundedGeneration = generation;
        Tally founded = register.queryAll(
                RegisterRequest.FOUNDED, to -> register.foundedRequest(to, generation, initial, incarnations));
        LOG.info(
                "calendar: fleet founded as generation {}, confirmed by {} of {} routers; {}",
                generation,
                founded.agreed().size(),
                names.size(),
                initial.text() == null
                        ? "closed until an operator proposes a calendar"
                        : "the calendar stays in force");
    }

    /** Returns the first entry of the new generation. */
    private Entry initialEntry(long generation, Map<String, RegisterResponse> all) {
        Optional<RegisterResponse> best = all.values().stream()
                .filter(r -> r.generation() > 0)
                .max(Comparator.comparingLong(RegisterResponse::generation).thenComparing(RegisterResponse::ballot));
        Entry surviving = best.map(RegisterResponse::entry).orElse(Entry.NONE);
        long last = Math.max(
                lastFoundedGeneration,
                all.values().stream()
                        .mapToLong(r -> Math.max(r.generation(), r.earlier()))
                        .max()
                        .orElse(0));
        long members = all.values().stream()
                .filter(r -> last > 0 && r.generation() == last)
                .count();
        if (names.size() - members < majority) {
            // Every majority contains a router with state of the last generation, so no accepted entry is lost.
            return Entry.founded(generation, surviving.text(), surviving.done());
        }
        // An accepted entry may be lost. Its file is still at the router where it was proposed, unless operators have
        // replaced it, so the text is taken over only if all files agree.
        List<String> files =
                all.values().stream().map(RegisterResponse::file).distinct().toList();
        String text = fileText();
        boolean filesAgree = files.size() == 1
                && Objects.equals(files.get(0), Windows.hash(text))
                && (surviving.text() == null || surviving.text().equals(text));
        return Entry.founded(generation, filesAgree ? text : null, surviving.done());
    }
}
