package stagepier.freeze;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import stagepier.fleet.History;

/**
 * What one router remembers of the agreement, and the rules by which it promises and votes. It never waits, and its lock is
 * held only while it looks something up. Never on the event loop.
 *
 * <p>A process starts without a memory and has no vote. It has one once it has taken over what a majority holds ({@link
 * #recovered}), or was one of all that founded the fleet ({@link RegisterRequest#FOUNDED}).
 */
class Acceptor {
    private final String self;
    private final History history;
    private final LongSupplier wallMs;
    private final Map<String, Long> vector = new HashMap<>();
    private long incarnation;
    private boolean member;
    private long generation;
    /** The last generation that it promised to found; it takes no part in an earlier one. */
    private long founding;

    private String founder = "";
    private long founderIncarnation;
    private long earlier;
    private long highest;
    private Ballot promised = Ballot.ZERO;
    private Ballot ballot = Ballot.ZERO;
    private Entry entry = Entry.NONE;
    private Entry learned = Entry.NONE;
    private Ballot learnedIn = Ballot.ZERO;
    private String file = "";
    private long ballotsReceived;

    /**
     * @param incarnation of this process, above 0 and above those of all processes that had this name
     * @param wallMs      the wall clock, milliseconds since 1970
     */
    Acceptor(String self, long incarnation, LongSupplier wallMs, History history) {
        this.self = self;
        this.history = history;
        this.wallMs = wallMs;
        this.incarnation = incarnation;
        vector.put(self, incarnation);
    }

    /** Whether it may promise and vote in that generation. */
    boolean mayVote(long inGeneration) {
        return member && generation == inGeneration;
    }

    /** The incarnations that replies carry. */
    Map<String, Long> known() {
        return vector;
    }

    /** @param kind one of those in {@link RegisterRequest} */
    final synchronized RegisterResponse answer(String kind, RegisterRequest ask) {
        learnIncarnation(ask.name(), ask.incarnation());
        if (ask.yours() > incarnation) {
            startOver(ask.yours());
        }
        boolean current = ask.incarnation() >= vector.get(ask.name());
        highest = Math.max(highest, ask.generation());
        boolean ok = current && does(kind, ask);
        boolean whole = kind.equals(RegisterRequest.PREPARE)
                || kind.equals(RegisterRequest.ACCEPT)
                || kind.equals(RegisterRequest.FOUND)
                || kind.equals(RegisterRequest.FOUNDED)
                || kind.equals(RegisterRequest.RECOVER) && ok;
        boolean content = kind.equals(RegisterRequest.RECOVER) && ok
                || kind.equals(RegisterRequest.FOUND)
                || kind.equals(RegisterRequest.PREPARE) && ok;
        boolean news = kind.equals(RegisterRequest.PULL) && ask.after().compareTo(learned.version()) < 0;
        return new RegisterResponse(
                ok,
                incarnation,
                member,
                generation,
                earlier,
                highest,
                promised,
                ballot,
                entry.version(),
                learned.version(),
                wallMs.getAsLong(),
                content ? entry : null,
                news ? learned : null,
                news ? learnedIn : null,
                whole ? file : null,
                whole
                        ? new TreeMap<>(known())
                        : kind.equals(RegisterRequest.RECOVER) ? Map.of(ask.name(), vector.get(ask.name())) : null);
    }

    private boolean does(String kind, RegisterRequest ask) {
        return switch (kind) {
            case RegisterRequest.CONFIRM -> member && generation == ask.generation();
            case RegisterRequest.RECOVER -> member;
            case RegisterRequest.PREPARE -> promises(ask);
            case RegisterRequest.ACCEPT -> votes(ask);
            case RegisterRequest.LEARN -> {
                learn(ask.entry(), ask.ballot());
                yield true;
            }
            case RegisterRequest.PULL -> true;
            case RegisterRequest.FOUND -> promisesFounding(ask);
            case RegisterRequest.FOUNDED -> isFounded(ask);
            default -> false;
        };
    }

    private boolean promises(RegisterRequest ask) {
        if (!mayVote(ask.generation()) || promised.compareTo(ask.ballot()) > 0) {
            return false;
        }
        promised = ask.ballot();
        ballotsReceived++;
        return true;
    }

    private boolean votes(RegisterRequest ask) {
        if (!mayVote(ask.generation()) || promised.compareTo(ask.ballot()) > 0) {
            return false;
        }
        promised = ask.ballot();
        ballot = ask.ballot();
        entry = ask.entry();
        ballotsReceived++;
        history.write(
                "calendar.vote",
                "generation",
                generation,
                "round",
                ballot.round(),
                "by",
                ballot.name(),
                "version",
                entry.version().toString(),
                "hash",
                Windows.hash(entry.text()));
        return true;
    }

    private boolean promisesFounding(RegisterRequest ask) {
        if (ask.generation() <= Math.max(generation, founding)) {
            return false;
        }
        if (!founder.equals(ask.name()) || founderIncarnation != ask.incarnation()) {
            earlier = founding;
            founder = ask.name();
            founderIncarnation = ask.incarnation();
        }
        founding = ask.generation();
        member = false;
        return true;
    }

    private boolean isFounded(RegisterRequest ask) {
        if (member && generation == ask.generation()) {
            return true;
        }
        if (founding != ask.generation() || member || ask.vector().getOrDefault(self, 0L) != incarnation) {
            return false;
        }
        ask.vector().forEach(this::learnIncarnation);
        begin(ask.generation(), Ballot.ZERO, Ballot.ZERO, ask.entry());
        return true;
    }

    private void begin(long newGeneration, Ballot hasPromised, Ballot votedIn, Entry votedFor) {
        generation = newGeneration;
        founding = Math.max(founding, newGeneration);
        promised = hasPromised;
        ballot = votedIn;
        entry = votedFor;
        member = true;
        holdLearned();
        history.write(
                "calendar.member",
                "generation",
                generation,
                "incarnation",
                incarnation,
                "version",
                entry.version().toString());
    }

    /**
     * Takes over what a majority of the others holds: the highest promise, the highest vote and all incarnations.
     *
     * @param asked   the incarnation that asked
     * @param replies of a majority of the configured fleet, of one generation, none of a process that is over
     * @return false where this process is not the one that asked any more, or has promised to found a later generation meanwhile
     */
    final synchronized boolean recovered(long asked, long inGeneration, Collection<RegisterResponse> replies) {
        if (asked != incarnation || member || inGeneration < founding) {
            return false;
        }
        Ballot most = Ballot.ZERO;
        RegisterResponse last = null;
        for (RegisterResponse r : replies) {
            most = r.promised().compareTo(most) > 0 ? r.promised() : most;
            last = last == null || r.ballot().compareTo(last.ballot()) > 0 ? r : last;
            r.vector().forEach(this::learnIncarnation);
        }
        begin(inGeneration, most, last.ballot(), last.entry());
        return true;
    }

    private void learnIncarnation(String name, long itsIncarnation) {
        vector.merge(name, itsIncarnation, Math::max);
    }

    /**
     * This process is held to be over, for its clock went back over a restart, or another one has its name: it has no vote any
     * more.
     */
    final synchronized void startOver(long over) {
        if (over < incarnation) {
            return;
        }
        incarnation = over + 1;
        vector.put(self, incarnation);
        member = false;
        generation = 0;
        founding = 0;
        founder = "";
        earlier = 0;
        promised = Ballot.ZERO;
        ballot = Ballot.ZERO;
        entry = Entry.NONE;
    }

    /** Something was accepted, as the one says who counted the votes, or one that heard it from there. */
    final synchronized void learn(Entry accepted, Ballot in) {
        highest = Math.max(highest, accepted.version().generation());
        if (accepted.version().compareTo(learned.version()) > 0) {
            learned = accepted;
            learnedIn = in;
            holdLearned();
            history.write(
                    "calendar.learned",
                    "version",
                    accepted.version().toString(),
                    "hash",
                    Windows.hash(accepted.text()));
        }
    }

    /**
     * What is known to be accepted is held like what was voted for, so that a founding hears of it where those who voted are
     * gone. No later ballot can have anything that does not follow from it.
     */
    private void holdLearned() {
        if (member && learned.version().generation() == generation && learnedIn.compareTo(ballot) > 0) {
            ballot = learnedIn;
            promised = learnedIn.compareTo(promised) > 0 ? learnedIn : promised;
            entry = learned;
        }
    }

    /** Hash of the windows in this router's own file. */
    final synchronized void file(String hash) {
        file = hash;
    }

    final synchronized Entry learned() {
        return learned;
    }

    /** Grows with each promise and vote. */
    final synchronized long ballotsReceived() {
        return ballotsReceived;
    }

    /** The last generation that it heard of in any way. */
    final synchronized long highest() {
        return Math.max(highest, Math.max(generation, founding));
    }

    final synchronized boolean isMember() {
        return member;
    }

    final synchronized long generation() {
        return generation;
    }

    final synchronized long incarnation() {
        return incarnation;
    }

    final synchronized Ballot promised() {
        return promised;
    }

    /** The last incarnation of another that it knows of; 0 for none. */
    final synchronized long known(String name) {
        return vector.getOrDefault(name, 0L);
    }
}
