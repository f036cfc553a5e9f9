package stagepier.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import stagepier.fleet.FleetView.Facts;
import stagepier.fleet.FleetView.Member;
import stagepier.fleet.FleetView.State;
import stagepier.fleet.ViewWords.News;

/**
 * The rules of the view. Of two that speak of one member the higher incarnation holds, and in one incarnation the later of alive,
 * suspect, gone, left: so news may come twice, late and in any order. A member itself contradicts that it is suspect or gone by a
 * higher incarnation (Das, Gupta and Motivala, <i>SWIM: scalable weakly-consistent infection-style process group membership
 * protocol</i>, 2002). What counts as heard is a call that was answered, here or by somebody who tells so: whose words do not get out
 * has no answers, and whom no words reach gives none; both are out. Two that cannot call each other are both in, as long as others
 * tell of each to the other.
 *
 * <p>Every method is to be called by who holds this object's monitor, and none waits.
 */
final class MemberTable {
    /**
     * Silence from which a member is in doubt, in a fleet of up to 16. That somebody was heard spreads from one to the next, so it is
     * longer the more they are: by so much for each doubling.
     */
    private static final long DOUBT_NS = ms(1_400);
    private static final long DOUBT_MORE_NS = ms(150);
    /** How long it stays suspect where nobody else found it silent, and where as many did as are counted. */
    static final long SUSPECT_MOST_NS = ms(800);
    static final long SUSPECT_LEAST_NS = ms(400);
    static final int MOST_CONFIRM = 3;
    /** Members heard of within this make up a majority or do not. */
    static final long MAJORITY_NS = ms(2_000);
    /** By what it is longer for one that is heard of through others only, for so long at least. */
    private static final double BRIDGED = 1.35;
    private static final long BRIDGED_NS = ms(300);
    /** The part of that from which others are asked about one that does not answer. */
    private static final double ASK = 0.5;
    /** The part of that from which it is called out of turn. */
    private static final double REFRESH = 0.45;
    private static final long SILENT_AGAIN_NS = ms(500);
    private static final long HINT_AGAIN_NS = ms(300);
    private static final long CONTRADICT_AGAIN_NS = ms(100);
    private static final int MOST_NEWS = 48;
    private static final int MOST_HEARD = 128;
    private static final int MOST_LOST = 32;
    /** Of so many calls one goes to a member that does not answer, one to one that does, the others to those in doubt while there are any. */
    private static final int TURNS = 4;
    /** So many calls to members that are in went unanswered, and no call was answered since before doubt: then all are silent alike. */
    private static final int LAST_CALLS = 8;

    private final FleetConfig config;
    private final Random random;
    private final SortedMap<String, Peer> peers = new TreeMap<>();
    private final List<Peer> all;
    private final Set<Peer> hints = new LinkedHashSet<>();
    private final LocalHealth health = new LocalHealth();
    private final int tellTimes;
    private final long doubt;
    /** This router as the others are told of it. */
    private final Peer self;
    private long contradictedAt;
    private int lastCalls = ~0;
    private long lastAnswerAt;
    private int stalls;
    private int turn;
    private long epoch;
    private boolean stateChanged = true;
    private boolean changed = true;
    private boolean majority;

    MemberTable(FleetConfig config, long incarnation, long now, Random random) {
        this.config = config;
        this.random = random;
        long never = now - ms(3_600_000);
        for (String name : config.members().keySet()) {
            if (!name.equals(config.self())) {
                Peer p = new Peer(name, never);
                // Each router goes round in an order of its own.
                p.calledAt = never - random.nextInt(1_000_000);
                peers.put(name, p);
            }
        }
        all = List.copyOf(peers.values());
        tellTimes = 3 * (32 - Integer.numberOfLeadingZeros(config.members().size()));
        doubt = DOUBT_NS + DOUBT_MORE_NS * Math.max(0, 28 - Integer.numberOfLeadingZeros(config.members().size()));
        self = new Peer(config.self(), never);
        self.incarnation = incarnation;
        self.state = State.ALIVE;
        self.factsVersion = incarnation;
        self.tell = tellTimes;
        self.tellFacts = tellTimes;
        contradictedAt = never;
        lastAnswerAt = now;
    }

    static long ms(long n) {
        return TimeUnit.MILLISECONDS.toNanos(n);
    }

    long incarnation() {
        return self.incarnation;
    }

    int stalls() {
        return stalls;
    }

    /** By what an answer is waited for longer than it would be. */
    double waitLonger() {
        return health.waitLonger();
    }

    boolean isMember(String name) {
        return peers.containsKey(name);
    }

    void facts(Facts facts) {
        if (!facts.equals(self.facts)) {
            self.facts = facts;
            self.factsVersion++;
            self.tellFacts = tellTimes;
            changed = true;
        }
    }

    void leave() {
        self.state = State.LEFT;
        self.tell = tellTimes;
        stateChanged = true;
    }

    // What is heard.

    /** A member answered this router's call, which was sent then. */
    void answered(String name, long sentAt) {
        lastCalls = lastCalls << 1 | 1;
        lastAnswerAt = Math.max(lastAnswerAt, sentAt);
        Peer p = peers.get(name);
        p.answeredAt = Math.max(p.answeredAt, sentAt);
        p.heardAt = Math.max(p.heardAt, sentAt);
    }

    /** Ages in milliseconds, as of no later than the given time, that another told. */
    void heardOfOthers(Map<String, Integer> ages, long sentAt) {
        ages.forEach((name, age) -> {
            Peer p = peers.get(name);
            if (p != null && age != null && age >= 0) {
                p.heardAt = Math.max(p.heardAt, sentAt - ms(age));
            }
        });
    }

    /** Whom a relay can call itself. */
    void reachedBy(String relay, List<String> names) {
        for (String name : names) {
            Peer p = name == null ? null : peers.get(name);
            if (p != null && !name.equals(relay)) {
                p.relay = peers.get(relay);
            }
        }
    }

    /** This router's call, sent then, had no answer in time; a stall of its own since then makes that worthless. */
    void silent(String name, long sentAt, int stallsThen) {
        if (stalls == stallsThen) {
            Peer p = peers.get(name);
            p.failsSince = p.failsHere() ? p.failsSince : sentAt;
            p.failedAt = sentAt;
            if (isIn(p)) {
                lastCalls <<= 1;
            }
        }
    }

    /** How long ago a member was last heard, in milliseconds; -1 where it is long, or it does not answer here. */
    long age(String name, long now) {
        Peer p = peers.get(name);
        return p == null || p.failsHere() || now - p.heardAt > doubt ? -1 : TimeUnit.NANOSECONDS.toMillis(now - p.heardAt) + 1;
    }

    void apply(String from, Collection<News> news, long now) {
        if (news != null) {
            news.forEach(n -> apply(from, n, now));
        }
    }

    /** What a member, or one that answers, says of its own incarnation. */
    void applyAlive(String name, long incarnation, long now) {
        apply(name, new News(name, incarnation, State.ALIVE.ordinal(), null, 0, null), now);
    }

    void apply(String from, News news, long now) {
        if (news == null || news.n() == null || news.i() <= 0 || news.s() < 0 || news.s() >= State.values().length) {
            return;
        }
        if (news.n().equals(self.name)) {
            hearOfSelf(news, now);
            return;
        }
        Peer p = peers.get(news.n());
        if (p == null) {
            return;
        }
        if (news.f() != null && news.v() > p.factsVersion) {
            p.facts = news.f();
            p.factsVersion = news.v();
            p.tellFacts = tellTimes;
            changed = true;
        }
        State state = State.values()[news.s()];
        int newer = compare(news.i(), state, p);
        boolean ill = state == State.SUSPECT || state == State.GONE;
        if (newer > 0 && state == State.ALIVE && !isIn(p) && p.heardAt <= p.outSince) {
            sayAlive(p, news.i());
        } else if (newer > 0 && ill && isRefused(from, p, now)) {
            refuse(p, news, now);
        } else if (newer > 0) {
            take(p, news.i(), state, now);
        }
        if (compare(news.i(), state, p) == 0 && state == State.SUSPECT && news.by() != null) {
            news.by().forEach(name -> confirm(p, name));
        }
    }

    private static boolean isIn(Peer p) {
        return p.state == State.ALIVE || p.state == State.SUSPECT;
    }

    private static int compare(long incarnation, State state, Peer p) {
        int byIncarnation = Long.compare(incarnation, p.incarnation);
        return byIncarnation != 0 ? byIncarnation : Integer.compare(state.ordinal(), p.state.ordinal());
    }

    /** Who was heard a moment ago is not silent, whoever says so; nor does the word of one count that is itself out. */
    private boolean isRefused(String from, Peer p, long now) {
        Peer teller = peers.get(from);
        return now - p.heardAt < doubt || teller != null && !isIn(teller);
    }

    /** Its words come in, but nobody here had an answer from it: told on, and taken when somebody has. */
    private void sayAlive(Peer p, long incarnation) {
        if (incarnation > p.saidAlive) {
            p.saidAlive = incarnation;
            p.tell = tellTimes;
        }
    }

    private void refuse(Peer p, News claim, long now) {
        if (claim.i() > p.incarnation) {
            take(p, claim.i(), State.ALIVE, p.countsFrom);
        }
        if (p.claim == null || claim.i() > p.claim.i() || claim.i() == p.claim.i() && claim.s() > p.claim.s()) {
            p.claim = new News(claim.n(), claim.i(), claim.s(), List.of(), 0, null);
            p.tellClaim = tellTimes;
            hint(p, now);
        }
    }

    private void take(Peer p, long incarnation, State state, long now) {
        if (incarnation > p.incarnation) {
            // Its own word, from after the last one that is held: its silence counts from here.
            p.countsFrom = now;
            if (!isIn(p)) {
                p.failedAt = Math.min(p.failedAt, p.answeredAt);
            }
        }
        if (isIn(p) && state != State.ALIVE && state != State.SUSPECT) {
            p.outSince = now;
        }
        p.incarnation = incarnation;
        p.state = state;
        p.suspectedBy.clear();
        p.suspectSince = now;
        p.tell = tellTimes;
        if (p.claim != null && compare(p.claim.i(), State.values()[p.claim.s()], p) <= 0) {
            p.claim = null;
        }
        stateChanged = true;
    }

    private void confirm(Peer p, String name) {
        if (p.suspectedBy.size() < MOST_CONFIRM && config.members().containsKey(name) && p.suspectedBy.add(name)) {
            p.tell = tellTimes;
        }
    }

    /** Others hold this router to be out, or know an incarnation that is none of this process: above it, so that this one holds. */
    private void hearOfSelf(News news, long now) {
        if (news.v() > self.factsVersion) {
            self.factsVersion = news.v() + 1;
            self.tellFacts = tellTimes;
        }
        boolean against = compare(news.i(), State.values()[news.s()], self) > 0;
        // Bounded: where two processes have one name, each would go above the other without an end.
        if (against && now - contradictedAt > CONTRADICT_AGAIN_NS) {
            contradictedAt = now;
            if (news.s() == State.SUSPECT.ordinal()) {
                health.wasSuspected(now);
            }
            self.incarnation = news.i() + 1;
            self.tell = tellTimes;
            stateChanged = true;
        }
    }

    // What goes on with time.

    /**
     * @param late by how much the wait before it was too long, in nanoseconds
     */
    void tick(long late, long now) {
        if (health.waited(late, now)) {
            stalls++;
            lastCalls = ~0;
            lastAnswerAt = now;
            for (Peer p : all) {
                p.countsFrom = now;
                p.suspectSince = now;
                p.failedAt = Math.min(p.failedAt, p.answeredAt);
            }
        }
        double factor = health.patience();
        boolean cutOff = (lastCalls & (1 << LAST_CALLS) - 1) == 0 && now - lastAnswerAt > doubt;
        int near = 1;
        for (Peer p : all) {
            if (p.saidAlive > p.incarnation && p.heardAt > p.outSince) {
                take(p, p.saidAlive, State.ALIVE, now);
            }
            long silence = now - p.silentFrom();
            boolean found = p.failsHere() || cutOff;
            if (p.state == State.ALIVE && silence > doubt * factor * (isBridged(p) ? BRIDGED : 1) && found) {
                take(p, p.incarnation, State.SUSPECT, now);
                confirm(p, self.name);
            } else if (p.state == State.SUSPECT) {
                suspect(p, silence, factor, found, now);
            } else if (p.state == State.ALIVE && silence > REFRESH * doubt) {
                hint(p, now);
            }
            if (isIn(p) && now - p.heardAt < MAJORITY_NS) {
                near++;
            }
        }
        boolean now1 = self.state == State.ALIVE && near >= config.majority();
        changed |= now1 != majority;
        majority = now1;
    }

    /** This router cannot call it, but has heard of it since: that comes a longer way. */
    private static boolean isBridged(Peer p) {
        return p.failsHere() && p.heardAt - p.failsSince > BRIDGED_NS;
    }

    private void suspect(Peer p, long silence, double factor, boolean found, long now) {
        if (silence < doubt) {
            // It answers somebody; it has to learn of this, to contradict.
            p.suspectSince = now;
            hint(p, now);
            return;
        }
        if (found) {
            confirm(p, self.name);
        } else {
            hint(p, now);
        }
        double confirmed = Math.log(Math.max(1, p.suspectedBy.size())) / Math.log(MOST_CONFIRM);
        double wait = (SUSPECT_MOST_NS - confirmed * (SUSPECT_MOST_NS - SUSPECT_LEAST_NS)) * factor;
        if (now - p.suspectSince > wait) {
            take(p, p.incarnation, State.GONE, now);
        }
    }

    /** To be called soon; whom this router cannot call it hears of, and tells, by one that can. */
    private void hint(Peer p, long now) {
        if (p.failsHere() && p.relay != null && isIn(p.relay) && !p.relay.failsHere()) {
            hintNow(p.relay, now);
        } else {
            hintNow(p, now);
        }
    }

    private void hintNow(Peer p, long now) {
        if (now - p.hintedAt > (p.failsHere() ? SILENT_AGAIN_NS : HINT_AGAIN_NS)) {
            p.hintedAt = now;
            hints.add(p);
        }
    }

    void hint(String name, long now) {
        Peer p = peers.get(name);
        if (p != null) {
            hint(p, now);
        }
    }

    /**
     * Whom to call; null where nobody else is. Those in doubt come first, but leave turns to the others, who are called in rounds. Those
     * that are out or do not answer have rounds of their own, so that a router that cannot call half of the fleet still hears enough of
     * the other half.
     */
    Peer next(long now) {
        turn = (turn + 1) % TURNS;
        Peer p = turn > 1 ? hinted() : null;
        if (p == null) {
            p = nextOf(turn == 0, now);
        }
        p = p != null ? p : nextOf(turn != 0, now);
        if (p != null) {
            p.calledAt = now;
        }
        return p;
    }

    private Peer hinted() {
        for (Iterator<Peer> i = hints.iterator(); i.hasNext();) {
            Peer hinted = i.next();
            i.remove();
            if (hinted.claim != null || hinted.state != State.ALIVE || hinted.heardAt < hinted.hintedAt) {
                return hinted;
            }
        }
        return null;
    }

    /** Who was not called for longest, so that each is called once in a round; of the silent, none that was called just now. */
    private Peer nextOf(boolean silent, long now) {
        Peer next = null;
        for (Peer p : all) {
            if (silent == (p.failsHere() || !isIn(p)) && (next == null || p.calledAt < next.calledAt)) {
                next = p;
            }
        }
        return next == null || silent && now - next.calledAt < SILENT_AGAIN_NS ? null : next;
    }

    /** Some that answered a moment ago, to ask about one that was not; first who told of it last. */
    List<String> relays(Peer about, int most, long now) {
        if (!isIn(about) || now - about.silentFrom() < ASK * doubt) {
            return List.of();
        }
        List<String> fresh = new ArrayList<>();
        for (Peer p : all) {
            if (p != about && p != about.relay && isIn(p) && !p.failsHere() && now - p.answeredAt < doubt) {
                fresh.add(p.name);
            }
        }
        Collections.shuffle(fresh, random);
        if (about.relay != null && isIn(about.relay) && !about.relay.failsHere()) {
            fresh.add(0, about.relay.name);
        }
        return fresh.subList(0, Math.min(most, fresh.size()));
    }

    /** Anyone who answers; null where nobody does. */
    String anyone(long now) {
        List<Peer> fresh = all.stream().filter(p -> isIn(p) && !p.failsHere() && now - p.answeredAt < MAJORITY_NS + doubt).toList();
        return fresh.isEmpty() ? null : fresh.get(random.nextInt(fresh.size())).name;
    }

    // What is told.

    /** What a member is called with. */
    ViewWords.Ping ping(Peer p) {
        List<String> lost = null;
        int from = random.nextInt(all.size());
        for (int i = 0; i < all.size() && (lost == null || lost.size() < MOST_LOST); i++) {
            Peer other = all.get((from + i) % all.size());
            if (other != p && other.failsHere() && isIn(other)) {
                lost = lost == null ? new ArrayList<>() : lost;
                lost.add(other.name);
            }
        }
        return new ViewWords.Ping(self.incarnation, p.incarnation, p.claim == null && p.state == State.ALIVE ? null : about(p), lost, news());
    }

    ViewWords.Pong pong(String caller, ViewWords.Ping ping, long now) {
        return new ViewWords.Pong(self.incarnation, aboutCaller(caller, ping.i()), heardAges(caller, now), reached(ping.lost(), now), news());
    }

    /** What is held of a member, with what others hold against it. */
    private News about(Peer p) {
        return p.claim != null ? p.claim : news(p, false);
    }

    /** What is held of a caller, where that is not what it says. */
    private News aboutCaller(String name, long incarnation) {
        Peer p = peers.get(name);
        if (p == null || p.claim == null && p.incarnation == incarnation && p.state == State.ALIVE) {
            return null;
        }
        return about(p);
    }

    private News news(Peer p, boolean facts) {
        if (p.saidAlive > p.incarnation) {
            return new News(p.name, p.saidAlive, State.ALIVE.ordinal(), null, p.factsVersion, facts ? p.facts : null);
        }
        return held(p, facts);
    }

    /** For an exchange, in which two come to hold the same. */
    private News held(Peer p, boolean facts) {
        return new News(p.name, p.incarnation, p.state.ordinal(), p.state == State.SUSPECT ? List.copyOf(p.suspectedBy) : null,
                p.factsVersion, facts ? p.facts : null);
    }

    /** What changed lately, least told first; null for nothing. */
    List<News> news() {
        List<Peer> fresh = new ArrayList<>();
        for (Peer p : all) {
            if (p.tell > 0 || p.tellFacts > 0 || p.claim != null && p.tellClaim > 0) {
                fresh.add(p);
            }
        }
        Collections.shuffle(fresh, random);
        fresh.sort((a, b) -> Integer.compare(b.tell, a.tell));
        if (self.tell > 0 || self.tellFacts > 0) {
            fresh.add(0, self);
        }
        if (fresh.isEmpty()) {
            return null;
        }
        List<News> news = new ArrayList<>();
        for (Peer p : fresh.subList(0, Math.min(MOST_NEWS, fresh.size()))) {
            if (p.tell > 0 || p.tellFacts > 0) {
                news.add(news(p, p.tellFacts > 0));
                p.tell = Math.max(0, p.tell - 1);
                p.tellFacts = Math.max(0, p.tellFacts - 1);
            }
            if (p.claim != null && p.tellClaim > 0) {
                news.add(p.claim);
                p.tellClaim--;
            }
        }
        return news;
    }

    /** How long ago some members were heard, in milliseconds, for who calls. */
    private Map<String, Integer> heardAges(String caller, long now) {
        List<Peer> fresh = new ArrayList<>();
        for (Peer p : all) {
            if (!p.name.equals(caller) && now - p.heardAt < doubt) {
                fresh.add(p);
            }
        }
        if (fresh.size() > MOST_HEARD) {
            Collections.shuffle(fresh, random);
        }
        Map<String, Integer> ages = new TreeMap<>();
        for (Peer p : fresh.subList(0, Math.min(MOST_HEARD, fresh.size()))) {
            ages.put(p.name, (int) TimeUnit.NANOSECONDS.toMillis(now - p.heardAt) + 1);
        }
        return ages;
    }

    /** Of those that do not answer a caller, whom this router can call itself. */
    private List<String> reached(List<String> lost, long now) {
        if (lost == null) {
            return null;
        }
        return lost.stream().filter(name -> name != null && peers.containsKey(name)).filter(name -> {
            Peer p = peers.get(name);
            return !p.failsHere() && now - p.answeredAt < MAJORITY_NS;
        }).toList();
    }

    /** A part of all that is held, without facts: so many from there on. */
    List<News> part(int from, int most) {
        List<News> part = new ArrayList<>();
        part.add(held(self, false));
        for (int i = 0; i < Math.min(most, all.size()); i++) {
            Peer p = all.get((from + i) % all.size());
            part.add(held(p, false));
        }
        return part;
    }

    /** Of the same members, what is held newer. */
    List<News> newer(List<News> part) {
        List<News> newer = new ArrayList<>();
        for (News n : part) {
            Peer p = n == null || n.n() == null ? null : n.n().equals(self.name) ? self : peers.get(n.n());
            if (p != null && p.incarnation > 0 && n.s() >= 0 && n.s() < State.values().length
                    && (compare(n.i(), State.values()[n.s()], p) < 0 || n.v() < p.factsVersion)) {
                newer.add(held(p, n.v() < p.factsVersion));
            }
        }
        return newer;
    }

    // What is held.

    /** The view where it is another than the one taken before, else null. */
    FleetView changedView() {
        if (!changed && !stateChanged) {
            return null;
        }
        if (stateChanged) {
            epoch++;
        }
        changed = false;
        stateChanged = false;
        List<Member> members = new ArrayList<>();
        for (String name : config.members().keySet()) {
            Peer p = name.equals(self.name) ? self : peers.get(name);
            members.add(new Member(name, p.incarnation, p.state, p.facts));
        }
        return new FleetView(self.name, epoch, majority, members);
    }
}
