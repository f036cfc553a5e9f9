package stagepier.overload;

/**
 * Decides which client links may hold a slot, and for how long without using it. Slots stand for descriptors and
 * memory, which are both limited; links with requests take priority over links that only hold a slot. The decision
 * depends on the observed behaviour of a link, never on the identity of the client. Performs no I/O and reads no clock;
 * all times are in seconds.
 */
public final class ConnectionSlots {
    /** The behaviour of a link. */
    public enum Behaviour {
        /** An answer is owed to it: never closed. */
        OWED,
        /** It leaves its answers unread. */
        UNREAD,
        /** It is reading a large value, which takes time. */
        READING,
        /** It has never sent a byte. */
        SILENT,
        /** It has sent part of a command, and no more bytes arrive. */
        PART,
        /** It has sent part of a command, and more bytes are still arriving. */
        SLOW,
        /** It is idle and has sent nothing that needs a cache server: a health check, or input that is no request. */
        PROBE,
        /** It is idle after one request. */
        ONCE,
        /** It is idle after more than one request. */
        REGULAR
    }

    /** How scarce slots are. */
    public enum Availability {
        PLENTY,
        SCARCE,
        TIGHT,
        FULL
    }

    /** Fraction of the slots, or of the memory, from which on the level is SCARCE or TIGHT. */
    private static final double SCARCE_FROM = 0.5;

    private static final double TIGHT_FROM = 0.85;
    /**
     * In seconds. After FULL the level remains SCARCE for this long, because clients that connected meanwhile have
     * waited in the backlog.
     */
    private static final double SCARCE_AFTER_FULL = 2;

    private static final double UNREAD_MAX = 4;
    /**
     * In seconds. Limit between two pieces of a large value that the client reads: a socket reports that it is writable
     * only after much of its buffer has been read.
     */
    private static final double READING_MAX = 15;
    /** In seconds. An idle link must not be closed sooner. */
    private static final double IDLE_MIN = 2;
    /** Seconds for which a link may hold its slot without using it, by level. */
    private static final double[] SILENT = {2, 1, 0.2, 0.1};

    private static final double[] PART = {2.2, 1, 0.4, 0.1};
    /**
     * A client may take 2 s for a command. One that takes longer counts as misbehaving and must get an error within 3
     * s.
     */
    private static final double[] SLOW = {2.6, 2.5, 2.3, 2.2};

    private static final double[] PROBE = {30, IDLE_MIN, IDLE_MIN, 0.1};
    private static final double[] ONCE = {30, IDLE_MIN, IDLE_MIN, IDLE_MIN};
    private static final double[] REGULAR = {30, 30, 15, 8};

    private final int slots;
    private final long bytes;
    private double fullAt = Double.NEGATIVE_INFINITY;

    /**
     * @param slots maximum number of links
     * @param bytes limit for the buffer memory of all links
     */
    public ConnectionSlots(int slots, long bytes) {
        this.slots = slots;
        this.bytes = bytes;
    }

    /** Whether there is a slot for one more link. */
    public boolean hasSlot(int links) {
        return links < slots;
    }

    public Availability level(double now, int links, long held) {
        if (links >= slots) {
            fullAt = now;
            return Availability.FULL;
        }
        double used = Math.max((double) links / slots, (double) held / bytes);
        if (used >= TIGHT_FROM) {
            return Availability.TIGHT;
        }
        return used >= SCARCE_FROM || now - fullAt < SCARCE_AFTER_FULL ? Availability.SCARCE : Availability.PLENTY;
    }

    /** Seconds for which a link may continue with that behaviour. */
    public static double holdLimit(Behaviour behaviour, Availability level) {
        return switch (behaviour) {
            case OWED -> Double.POSITIVE_INFINITY;
            case UNREAD -> UNREAD_MAX;
            case READING -> READING_MAX;
            case SILENT -> SILENT[level.ordinal()];
            case PART -> PART[level.ordinal()];
            case SLOW -> SLOW[level.ordinal()];
            case PROBE -> PROBE[level.ordinal()];
            case ONCE -> ONCE[level.ordinal()];
            case REGULAR -> REGULAR[level.ordinal()];
        };
    }

    /** Seconds between two checks of the slots. */
    public static double checkInterval(Availability level) {
        return switch (level) {
            case PLENTY, SCARCE -> 0.2;
            case TIGHT -> 0.05;
            case FULL -> 0.02;
        };
    }
}
