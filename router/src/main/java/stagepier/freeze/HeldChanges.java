package stagepier.freeze;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import stagepier.fleet.History;

/**
 * Voluntary changes that are held back by the calendar, at most the newest of each category for each server. Takes the
 * time as an argument, does not lock or block, and is confined to the event loop.
 *
 * <p>When the calendar opens, one held change is released per interval; while any change is held, new ones are queued
 * as well. The wall clock is divided into slots of one interval; in each slot the held change whose keyed hash with the
 * slot is smallest is released. Routers that hold the same changes therefore apply the same one within the skew of
 * their clocks, because rings that differ between routers would store keys on two servers. Whatever the routers hold,
 * the fleet moves at most the traffic share of one server per interval, since no router moves more than that of its own
 * traffic.
 *
 * @param <T> the action to perform when a change is released
 */
public final class HeldChanges<T> {
    /**
     * Changes of one category replace each other; an operator's restore and a change of the server list are held
     * independently.
     */
    private enum Category {
        LIST,
        RESTORE,
        DISCOVERY,
        PROMOTION
    }

    private record ChangeKey(Category category, String server) {
        static ChangeKey of(Change change) {
            return switch (change.kind()) {
                case ADD_SERVER, WEIGHT, ZONE, ADDRESS -> new ChangeKey(Category.LIST, change.server());
                case RESTORE -> new ChangeKey(Category.RESTORE, change.server());
                case MOVE_DISCOVERY -> new ChangeKey(Category.DISCOVERY, "");
                case PROMOTE -> new ChangeKey(Category.PROMOTION, "");
            };
        }
    }

    private record HeldChange<T>(Change change, T payload, long sinceNano) {}

    /** Equals the maximum number of servers that a router keeps of a server list. */
    private static final int MAX_HELD = 4096;

    private final Supplier<Calendar> calendar;
    private final History history;
    private final long key;
    private final long intervalMs;
    private final Map<ChangeKey, HeldChange<T>> held = new LinkedHashMap<>();
    /** {@code held.size()}, readable from other threads. */
    private volatile int size;

    private long lastSlot = Long.MIN_VALUE;
    private long lastNano;
    private long released;
    private long overtaken;
    private long refused;

    /**
     * @param calendar supplies the current snapshot
     * @param key      the same on all routers of a fleet
     * @param interval between two released changes; at least the skew of the routers' clocks, so that they release in
     *                 step
     */
    public HeldChanges(Supplier<Calendar> calendar, History history, long key, Duration interval) {
        this.calendar = calendar;
        this.history = history;
        this.key = key;
        intervalMs = Math.max(1, interval.toMillis());
    }

    /**
     * Submits a change, which replaces a held one of the same category and server.
     *
     * @return true if the change is to be applied now; false if it is held, or refused because too many are held
     */
    public boolean offer(Change change, T payload, Instant wall, long nanoTime) {
        Calendar current = calendar.get();
        Calendar.Answer answer = current.ask(change, wall, nanoTime);
        ChangeKey changeKey = ChangeKey.of(change);
        if (answer.permit() == Calendar.Permit.OPEN && held.isEmpty()) {
            write("topology.admitted", change, current, "");
            return true;
        }
        HeldChange<T> before = held.remove(changeKey);
        if (before != null) {
            overtaken++;
            write("topology.overtaken", before.change(), current, "");
        }
        if (held.size() >= MAX_HELD) {
            refused++;
            write("topology.refused", change, current, "too many are held");
        } else {
            held.put(changeKey, new HeldChange<>(change, payload, before == null ? nanoTime : before.sinceNano()));
            write("topology.held", change, current, answer.permit() + " " + answer.reason());
        }
        size = held.size();
        return false;
    }

    /** Discards all held changes of a server because it drains, has left, or follows its list entry again. */
    public void overtaken(String server) {
        drop(server, null);
    }

    /** Discards a held restore because an operator suspended the server; held changes of its list entry stay. */
    public void suspended(String server) {
        drop(server, Category.RESTORE);
    }

    /** Discards a held change that is no longer wanted, such as a move of discovery after the file was changed back. */
    public void withdrawn(Change change) {
        drop(ChangeKey.of(change));
    }

    private void drop(String server, Category only) {
        for (Category category : new Category[] {Category.LIST, Category.RESTORE}) {
            if (!server.isEmpty() && (only == null || only == category)) {
                drop(new ChangeKey(category, server));
            }
        }
    }

    private void drop(ChangeKey changeKey) {
        HeldChange<T> before = held.remove(changeKey);
        if (before != null) {
            overtaken++;
            size = held.size();
            write("topology.overtaken", before.change(), calendar.get(), "");
        }
    }

    /**
     * Returns the changes to apply now: at most one, if the calendar permits it and an interval has passed since the
     * last one. To be called several times per interval.
     */
    public List<T> due(Instant wall, long nanoTime) {
        if (held.isEmpty()) {
            return List.of();
        }
        long slot = Math.floorDiv(wall.toEpochMilli(), intervalMs);
        boolean tooEarly =
                lastSlot != Long.MIN_VALUE && (slot == lastSlot || nanoTime - lastNano < intervalMs * 1_000_000);
        if (tooEarly) {
            return List.of();
        }
        Calendar current = calendar.get();
        ChangeKey first = null;
        long leastRank = 0;
        for (Map.Entry<ChangeKey, HeldChange<T>> e : held.entrySet()) {
            if (current.ask(e.getValue().change(), wall, nanoTime).permit() == Calendar.Permit.OPEN) {
                long rank = rank(e.getKey(), slot);
                if (first == null || rank < leastRank) {
                    first = e.getKey();
                    leastRank = rank;
                }
            }
        }
        if (first == null) {
            return List.of();
        }
        HeldChange<T> next = held.remove(first);
        size = held.size();
        lastSlot = slot;
        lastNano = nanoTime;
        released++;
        write("topology.released", next.change(), current, "");
        List<T> due = new ArrayList<>(1);
        due.add(next.payload());
        return due;
    }

    private long rank(ChangeKey changeKey, long slot) {
        long id = (long) changeKey.server().hashCode() << Integer.SIZE
                | changeKey.category().ordinal();
        long name = new SplittableRandom(key ^ id).nextLong();
        return new SplittableRandom(name ^ slot).nextLong();
    }

    private void write(String event, Change change, Calendar basis, String reason) {
        history.write(
                event,
                "kind",
                change.kind().name(),
                "server",
                change.server(),
                "zone",
                change.zone(),
                "calendar",
                basis.version(),
                "why",
                reason);
    }

    /** Returns the number of held changes. May be called from any thread. */
    public int size() {
        return size;
    }

    /** Returns for how long the oldest change has been held; zero if none is. */
    public Duration oldest(long nanoTime) {
        return Duration.ofNanos(held.values().stream()
                .mapToLong(h -> nanoTime - h.sinceNano())
                .max()
                .orElse(0));
    }

    /** Number of changes that were released after having been held. */
    public long released() {
        return released;
    }

    /** Number of held changes that were discarded because they were replaced or became obsolete. */
    public long overtaken() {
        return overtaken;
    }

    /** Number of changes that were refused because too many were held. */
    public long refused() {
        return refused;
    }
}
