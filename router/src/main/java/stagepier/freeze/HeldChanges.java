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
 * Voluntary changes that may not be taken up now, the newest of each server, and when each may. Pure: told the time, no lock,
 * no wait; on the event loop.
 *
 * <p>When the calendar opens, one held change is taken up an interval, and as long as something is held whatever comes new gets
 * in line. Time is cut into slots of the interval by the wall clock; in each slot the held change is first whose keyed hash
 * with the slot is smallest. Routers that hold the same changes so take up the same server within the skew of their clocks: a
 * ring that differs from router to router would keep keys in two places. Whatever they hold, in each interval the fleet moves
 * no more traffic than the share of one server, since no router moves more of its own.
 *
 * @param <T> what is to be done when a change may be taken up
 */
public final class HeldChanges<T> {
    /** What overtakes each other: staff's word of a server and the list's stand side by side. */
    private enum Line {
        LIST,
        RESTORE,
        DISCOVERY,
        PROMOTION
    }

    private record Place(Line line, String server) {
        static Place of(Change change) {
            return switch (change.kind()) {
                case ADD_SERVER, WEIGHT, ZONE, ADDRESS -> new Place(Line.LIST, change.server());
                case RESTORE -> new Place(Line.RESTORE, change.server());
                case MOVE_DISCOVERY -> new Place(Line.DISCOVERY, "");
                case PROMOTE -> new Place(Line.PROMOTION, "");
            };
        }
    }

    private record Held<T>(Change change, T payload, long sinceNano) {}

    /** As many servers as a router ever remembers of a list. */
    private static final int MOST = 4096;

    private final Supplier<Calendar> calendar;
    private final History history;
    private final long key;
    private final long intervalMs;
    private final Map<Place, Held<T>> held = new LinkedHashMap<>();
    /** {@code held.size()}, for other threads. */
    private volatile int size;

    private long lastSlot = Long.MIN_VALUE;
    private long lastNano;
    private long released;
    private long overtaken;
    private long refused;

    /**
     * @param calendar what can be relied on now
     * @param key      the same in all routers of a fleet
     * @param interval between two that are taken up; at least the skew of the routers' clocks, so that they keep step
     */
    public HeldChanges(Supplier<Calendar> calendar, History history, long key, Duration interval) {
        this.calendar = calendar;
        this.history = history;
        this.key = key;
        intervalMs = Math.max(1, interval.toMillis());
    }

    /**
     * Somebody asks for a change, which overtakes an earlier one of the same server.
     *
     * @return true where it is to be taken up now; false where it is held, or refused since too many are
     */
    public boolean offer(Change change, T payload, Instant wall, long nanoTime) {
        Calendar now = calendar.get();
        Calendar.Answer answer = now.ask(change, wall, nanoTime);
        Place place = Place.of(change);
        if (answer.permit() == Calendar.Permit.OPEN && held.isEmpty()) {
            write("topology.admitted", change, now, "");
            return true;
        }
        Held<T> before = held.remove(place);
        if (before != null) {
            overtaken++;
            write("topology.overtaken", before.change(), now, "");
        }
        if (held.size() >= MOST) {
            refused++;
            write("topology.refused", change, now, "too many are held");
        } else {
            held.put(place, new Held<>(change, payload, before == null ? nanoTime : before.sinceNano()));
            write("topology.held", change, now, answer.permit() + " " + answer.reason());
        }
        size = held.size();
        return false;
    }

    /** The server drains, is gone, or its list entry is again what counts: whatever is held of it is never taken up. */
    public void overtaken(String server) {
        drop(server, null);
    }

    /** Staff have suspended the server: a held word to restore it is never taken up, what the list says of it may be later. */
    public void suspended(String server) {
        drop(server, Line.RESTORE);
    }

    /** What was asked for is not wanted any more, such as another discovery after the file was set back. */
    public void withdrawn(Change change) {
        drop(Place.of(change));
    }

    private void drop(String server, Line only) {
        for (Line line : new Line[] {Line.LIST, Line.RESTORE}) {
            if (!server.isEmpty() && (only == null || only == line)) {
                drop(new Place(line, server));
            }
        }
    }

    private void drop(Place place) {
        Held<T> before = held.remove(place);
        if (before != null) {
            overtaken++;
            size = held.size();
            write("topology.overtaken", before.change(), calendar.get(), "");
        }
    }

    /**
     * What is to be taken up now: at most one change, where the calendar lets it and an interval has gone by since the last. To
     * be called several times an interval.
     */
    public List<T> due(Instant wall, long nanoTime) {
        if (held.isEmpty()) {
            return List.of();
        }
        long slot = Math.floorDiv(wall.toEpochMilli(), intervalMs);
        boolean early =
                lastSlot != Long.MIN_VALUE && (slot == lastSlot || nanoTime - lastNano < intervalMs * 1_000_000);
        if (early) {
            return List.of();
        }
        Calendar now = calendar.get();
        Place first = null;
        long least = 0;
        for (Map.Entry<Place, Held<T>> e : held.entrySet()) {
            if (now.ask(e.getValue().change(), wall, nanoTime).permit() == Calendar.Permit.OPEN) {
                long rank = rank(e.getKey(), slot);
                if (first == null || rank < least) {
                    first = e.getKey();
                    least = rank;
                }
            }
        }
        if (first == null) {
            return List.of();
        }
        Held<T> one = held.remove(first);
        size = held.size();
        lastSlot = slot;
        lastNano = nanoTime;
        released++;
        write("topology.released", one.change(), now, "");
        List<T> due = new ArrayList<>(1);
        due.add(one.payload());
        return due;
    }

    private long rank(Place place, long slot) {
        long id =
                (long) place.server().hashCode() << Integer.SIZE | place.line().ordinal();
        long name = new SplittableRandom(key ^ id).nextLong();
        return new SplittableRandom(name ^ slot).nextLong();
    }

    private void write(String event, Change change, Calendar by, String why) {
        history.write(
                event,
                "kind",
                change.kind().name(),
                "server",
                change.server(),
                "zone",
                change.zone(),
                "calendar",
                by.version(),
                "why",
                why);
    }

    /** From any thread. */
    public int size() {
        return size;
    }

    /** For how long the oldest has been held; zero where nothing is. */
    public Duration oldest(long nanoTime) {
        return Duration.ofNanos(held.values().stream()
                .mapToLong(h -> nanoTime - h.sinceNano())
                .max()
                .orElse(0));
    }

    /** Taken up after they were held. */
    public long released() {
        return released;
    }

    /** Held, and never taken up since something newer came. */
    public long overtaken() {
        return overtaken;
    }

    /** Neither taken up nor held, since too many were held. */
    public long refused() {
        return refused;
    }
}
