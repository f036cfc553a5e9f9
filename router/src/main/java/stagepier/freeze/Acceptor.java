package stagepier.freeze;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import stagepier.fleet.History;

/**
 * The acceptor state of one router, and the rules by which it promises and votes. No method blocks except for the lock,
 * which is held only during in-memory work. Must not be used on the event loop.
 *
 * <p>State is not persisted: a process starts without state and may not vote. It becomes a member, which may vote, once
 * it has taken over the state of a majority ({@link #adoptState}) or has taken part in founding the fleet ({@link
 * RegisterRequest#FOUNDED}).
 */
class Acceptor {
    private final String self;
    private final History history;
    private final LongSupplier wallMs;
    private final Map<String, Long> incarnations = new HashMap<>();
    private long incarnation;
    private boolean member;
    private long generation;
    /** The last generation whose founding this acceptor promised to join; it does not vote in earlier ones. */
    private long foundingGeneration;

    private String founder = "";
    private long founderIncarnation;
    private long earlierFounding;
    private long highestGeneration;
    private Ballot promised = Ballot.ZERO;
    private Ballot ballot = Ballot.ZERO;
    private Entry entry = Entry.NONE;
    private Entry learned = Entry.NONE;
    private Ballot learnedBallot = Ballot.ZERO;
    private String fileHash = "";
    private long ballotsReceived;

    /**
     * @param incarnation of this process; above 0 and above that of every earlier process of the same name
     * @param wallMs      the wall clock in milliseconds since 1970
     */
    Acceptor(String self, long incarnation, LongSupplier wallMs, History history) {
        this.self = self;
        this.history = history;
        this.wallMs = wallMs;
        this.incarnation = incarnation;
        incarnations.put(self, incarnation);
    }

    /** Whether this acceptor may promise and vote in the given generation. */
    boolean mayVote(long inGeneration) {
        return member && generation == inGeneration;
    }

    /** The last known incarnation of each router, as sent in replies. */
    Map<String, Long> knownIncarnations() {
        return incarnations;
    }

    /** @param kind a message kind of {@link RegisterRequest} */
    final synchronized RegisterResponse handle(String kind, RegisterRequest request) {
        learnIncarnation(request.name(), request.incarnation());
        if (request.yours() > incarnation) {
            discardState(request.yours());
        }
        boolean current = request.incarnation() >= incarnations.get(request.name());
        highestGeneration = Math.max(highestGeneration, request.generation());
        boolean ok = current && process(kind, request);
        boolean includeState = kind.equals(RegisterRequest.PREPARE)
                || kind.equals(RegisterRequest.ACCEPT)
                || kind.equals(RegisterRequest.FOUND)
                || kind.equals(RegisterRequest.FOUNDED)
                || kind.equals(RegisterRequest.RECOVER) && ok;
        boolean includeEntry = kind.equals(RegisterRequest.RECOVER) && ok
                || kind.equals(RegisterRequest.FOUND)
                || kind.equals(RegisterRequest.PREPARE) && ok;
        boolean includeLearned =
                kind.equals(RegisterRequest.PULL) && request.after().compareTo(learned.version()) < 0;
        return new RegisterResponse(
                ok,
                incarnation,
                member,
                generation,
                earlierFounding,
                highestGeneration,
                promised,
                ballot,
                entry.version(),
                learned.version(),
                wallMs.getAsLong(),
                includeEntry ? entry : null,
                includeLearned ? learned : null,
                includeLearned ? learnedBallot : null,
                includeState ? fileHash : null,
                includeState
                        ? new TreeMap<>(knownIncarnations())
                        : kind.equals(RegisterRequest.RECOVER)
                                ? Map.of(request.name(), incarnations.get(request.name()))
                                : null);
    }

    private boolean process(String kind, RegisterRequest request) {
        return switch (kind) {
            case RegisterRequest.CONFIRM -> member && generation == request.generation();
            case RegisterRequest.RECOVER -> member;
            case RegisterRequest.PREPARE -> promise(request);
            case RegisterRequest.ACCEPT -> vote(request);
            case RegisterRequest.LEARN -> {
                learn(request.entry(), request.ballot());
                yield true;
            }
            case RegisterRequest.PULL -> true;
            case RegisterRequest.FOUND -> promiseFounding(request);
            case RegisterRequest.FOUNDED -> completeFounding(request);
            default -> false;
        };
    }

    private boolean promise(RegisterRequest request) {
        if (!mayVote(request.generation()) || promised.compareTo(request.ballot()) > 0) {
            return false;
        }
        promised = request.ballot();
        ballotsReceived++;
        return true;
    }

    private boolean vote(RegisterRequest request) {
        if (!mayVote(request.generation()) || promised.compareTo(request.ballot()) > 0) {
            return false;
        }
        promised = request.ballot();
        ballot = request.ballot();
        entry = request.entry();
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

    private boolean promiseFounding(RegisterRequest request) {
        if (request.generation() <= Math.max(generation, foundingGeneration)) {
            return false;
        }
        if (!founder.equals(request.name()) || founderIncarnation != request.incarnation()) {
            earlierFounding = foundingGeneration;
            founder = request.name();
            founderIncarnation = request.incarnation();
        }
        foundingGeneration = request.generation();
        member = false;
        return true;
    }

    private boolean completeFounding(RegisterRequest request) {
        if (member && generation == request.generation()) {
            return true;
        }
        if (foundingGeneration != request.generation()
                || member
                || request.vector().getOrDefault(self, 0L) != incarnation) {
            return false;
        }
        request.vector().forEach(this::learnIncarnation);
        joinGeneration(request.generation(), Ballot.ZERO, Ballot.ZERO, request.entry());
        return true;
    }

    private void joinGeneration(long newGeneration, Ballot promisedBallot, Ballot votedBallot, Entry votedEntry) {
        generation = newGeneration;
        foundingGeneration = Math.max(foundingGeneration, newGeneration);
        promised = promisedBallot;
        ballot = votedBallot;
        entry = votedEntry;
        member = true;
        adoptLearned();
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
     * Takes over the state of a majority of the other routers: the highest promise, the highest vote and all
     * incarnations.
     *
     * @param requestingIncarnation the incarnation of this router that sent the requests
     * @param replies               of a majority of the configured fleet, of one generation, none from an ended process
     * @return false if this router has another incarnation by now or has promised to found a later generation meanwhile
     */
    final synchronized boolean adoptState(
            long requestingIncarnation, long inGeneration, Collection<RegisterResponse> replies) {
        if (requestingIncarnation != incarnation || member || inGeneration < foundingGeneration) {
            return false;
        }
        Ballot highestPromise = Ballot.ZERO;
        RegisterResponse lastVote = null;
        for (RegisterResponse r : replies) {
            highestPromise = r.promised().compareTo(highestPromise) > 0 ? r.promised() : highestPromise;
            lastVote = lastVote == null || r.ballot().compareTo(lastVote.ballot()) > 0 ? r : lastVote;
            r.vector().forEach(this::learnIncarnation);
        }
        joinGeneration(inGeneration, highestPromise, lastVote.ballot(), lastVote.entry());
        return true;
    }

    private void learnIncarnation(String name, long peerIncarnation) {
        incarnations.merge(name, peerIncarnation, Math::max);
    }

    /**
     * Discards the state and takes a higher incarnation, because other routers consider this one ended: the clock went
     * back over a restart, or another process has the same name. The router may not vote until it has recovered again.
     */
    final synchronized void discardState(long endedIncarnation) {
        if (endedIncarnation < incarnation) {
            return;
        }
        incarnation = endedIncarnation + 1;
        incarnations.put(self, incarnation);
        member = false;
        generation = 0;
        foundingGeneration = 0;
        founder = "";
        earlierFounding = 0;
        promised = Ballot.ZERO;
        ballot = Ballot.ZERO;
        entry = Entry.NONE;
    }

    /** Records an accepted entry, as reported by the proposer that counted the votes or by a router that learned it. */
    final synchronized void learn(Entry accepted, Ballot acceptedBallot) {
        highestGeneration = Math.max(highestGeneration, accepted.version().generation());
        if (accepted.version().compareTo(learned.version()) > 0) {
            learned = accepted;
            learnedBallot = acceptedBallot;
            adoptLearned();
            history.write(
                    "calendar.learned",
                    "version",
                    accepted.version().toString(),
                    "hash",
                    Windows.hash(accepted.text()));
        }
    }

    /**
     * Stores a learned entry as if this router had voted for it, so that a founding includes it even if the routers
     * that voted are gone. This is safe because every later ballot can only carry an entry that follows from it.
     */
    private void adoptLearned() {
        if (member && learned.version().generation() == generation && learnedBallot.compareTo(ballot) > 0) {
            ballot = learnedBallot;
            promised = learnedBallot.compareTo(promised) > 0 ? learnedBallot : promised;
            entry = learned;
        }
    }

    /** Sets the hash of the windows in this router's own file. */
    final synchronized void setFileHash(String hash) {
        fileHash = hash;
    }

    final synchronized Entry learned() {
        return learned;
    }

    /** The number of promises and votes so far. */
    final synchronized long ballotsReceived() {
        return ballotsReceived;
    }

    /** The highest generation seen in any message or founded so far. */
    final synchronized long highestGeneration() {
        return Math.max(highestGeneration, Math.max(generation, foundingGeneration));
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

    /** The last known incarnation of another router; 0 for none. */
    final synchronized long incarnationOf(String name) {
        return incarnations.getOrDefault(name, 0L);
    }
}
