package stagepier.overload;

/**
 * Who may hold a slot among client links, and for how long without using it. Slots are descriptors and memory, and
 * both are few: those who ask come before those who only hold. Decides by what a link was seen to do, never by who it
 * is. Free of I/O and clock; all times in seconds.
 */
public final class ConnectionSlots {
    /** What a link does. */
    public enum Behaviour {
        /** An answer is owed to it: never closed. */
        OWED,
        /** It leaves its answers unread. */
        UNREAD,
        /** It reads a large value, which takes its time. */
        READING,
        /** It has never said anything. */
        SILENT,
        /** It has begun a command and not finished it, and nothing more comes. */
        PART,
        /** It is in the middle of a command, of which bytes still come. */
        SLOW,
        /** It has asked nothing that needs a cache server, and is idle: a probe, or words that are no request. */
        PROBE,
        /** It has asked once and is idle. */
        ONCE,
        /** It has asked more than once and is idle. */
        REGULAR
    }

    /** How short slots are. */
    public enum Availability {
        PLENTY,
        SCARCE,
        TIGHT,
        FULL
    }

    /** Part of the slots, or of the memory, from which on they are scarce and tight. */
    private static final double SCARCE_FROM = 0.5;

    private static final double TIGHT_FROM = 0.85;
    /** For so long after it was full it stays scarce: who came then has waited in the backlog. */
    private static final double FULL_REMEMBERED = 2;

    private static final double UNREAD_MOST = 4;
    /** Between two pieces of a large value that it reads: a socket tells of room only once much has been read. */
    private static final double READING_MOST = 15;
    /** An idle link may be closed from here on, and no sooner. */
    private static final double IDLE_LEAST = 2;
    /** How long each may hold its slot, by level. */
    private static final double[] SILENT = {2, 1, 0.2, 0.1};

    private static final double[] PART = {2.2, 1, 0.4, 0.1};
    /** A client may take 2 s for a command; who takes longer is held to be a bad one, and has to be told within 3 s. */
    private static final double[] SLOW = {2.6, 2.5, 2.3, 2.2};

    private static final double[] PROBE = {30, IDLE_LEAST, IDLE_LEAST, 0.1};
    private static final double[] ONCE = {30, IDLE_LEAST, IDLE_LEAST, IDLE_LEAST};
    private static final double[] REGULAR = {30, 30, 15, 8};

    private final int slots;
    private final long bytes;
    private double fullAt = Double.NEGATIVE_INFINITY;

    /**
     * @param slots links that there may be
     * @param bytes  memory that the buffers of all links should stay under
     */
    public ConnectionSlots(int slots, long bytes) {
        this.slots = slots;
        this.bytes = bytes;
    }

    /** Whether there is a slot for one more link. */
    public boolean hasSlot(int links) {
        return links < slots;
    }

    /** Whether a link may take more memory than the least. Guards the heap against messages that never end. */
    public boolean hasMemory(long held) {
        return held < bytes;
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
        return used >= SCARCE_FROM || now - fullAt < FULL_REMEMBERED ? Availability.SCARCE : Availability.PLENTY;
    }

    /** For how long a link may go on like that. */
    public static double holdLimit(Behaviour behaviour, Availability level) {
        return switch (behaviour) {
            case OWED -> Double.POSITIVE_INFINITY;
            case UNREAD -> UNREAD_MOST;
            case READING -> READING_MOST;
            case SILENT -> SILENT[level.ordinal()];
            case PART -> PART[level.ordinal()];
            case SLOW -> SLOW[level.ordinal()];
            case PROBE -> PROBE[level.ordinal()];
            case ONCE -> ONCE[level.ordinal()];
            case REGULAR -> REGULAR[level.ordinal()];
        };
    }

    /** Seconds after which slots are to be looked through again. */
    public static double checkInterval(Availability level) {
        return switch (level) {
            case PLENTY, SCARCE -> 0.2;
            case TIGHT -> 0.05;
            case FULL -> 0.02;
        };
    }
}
