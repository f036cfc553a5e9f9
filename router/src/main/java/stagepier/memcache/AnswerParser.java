package stagepier.memcache;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import stagepier.overload.MemoryBudget;

/**
 * Takes whole answers off a cache server's bytes; one for each connection. A value that is larger than what a ring
 * usually holds is collected apart as its bytes come; one that is larger than {@link Protocol#LARGEST_VALUE} is not collected at
 * all: its line comes as an answer, and its bytes are then moved on by who asks for them.
 */
public final class AnswerParser {
    /** Largest value that is passed on. */
    public static final int LARGEST_VALUE = 4 << 20;
    /** Collected from this length on. */
    private static final int LARGE = 16 * 1024;
    /** Grown to as bytes come. Guards against a length that is claimed by many and whose bytes never come. */
    private static final int AT_FIRST = 32 * 1024;

    /** Memory for values that are collected, shared by all connections. */
    private final MemoryBudget room;

    private final LoadReportFormat reports;
    /** The line of a large value, while that is collected; null otherwise. */
    private String[] large;

    private int length;
    private int got;
    private byte[] body = Answer.NO_BODY;
    private boolean kept;
    private boolean blocked;
    /** The bytes are moved on, not collected. */
    private boolean flowing;

    /** A parser for which there is always room. */
    public AnswerParser() {
        this(new MemoryBudget(Long.MAX_VALUE));
    }

    /** A parser that reads no load reports. */
    public AnswerParser(MemoryBudget room) {
        this(room, new LoadReportFormat(List.of()));
    }

    /** @param reports reads the load reports of all connections */
    public AnswerParser(MemoryBudget room, LoadReportFormat reports) {
        this.room = room;
        this.reports = reports;
    }

    /** Whether an answer has begun to be collected. */
    public boolean isInside() {
        return large != null;
    }

    /** Whether it waits for room: the connection has to stop reading meanwhile. */
    public boolean isBlocked() {
        return blocked;
    }

    /** Gives up what it has begun to collect. */
    public void drop() {
        if (large != null && kept) {
            room.release(length);
        }
        large = null;
        flowing = false;
        body = Answer.NO_BODY;
    }

    /** Moves on bytes of the value that flows; returns how many. */
    public int move(RingBuffer in, RingBuffer to, int most) {
        int n = to.take(in, Math.min(most, length - got));
        got += n;
        return n;
    }

    /** Whether all that is left of the value, and its line end, has come. */
    public boolean hasRest(RingBuffer in) {
        return in.size() >= length - got + 2;
    }

    /** Passes over what has come of the value. */
    public void passOver(RingBuffer in) {
        int n = Math.min(in.size(), length - got);
        in.skip(n);
        got += n;
    }

    /**
     * Whether the value that flows has ended, with its line end; then the next answer can be asked for.
     *
     * @throws MalformedException where something else follows
     */
    public boolean endsFlow(RingBuffer in) throws MalformedException {
        boolean ends = takesEnd(in);
        if (ends) {
            drop();
        }
        return ends;
    }

    /** Whether all of the value has been taken; its line end is taken then. */
    private boolean takesEnd(RingBuffer in) throws MalformedException {
        if (got < length || in.size() < 2) {
            return false;
        }
        Protocol.checkEnd(in, 0);
        in.skip(2);
        return true;
    }

    /** The next answer, as in {@link #next(RingBuffer, boolean)}, kept. */
    public Answer next(RingBuffer in) throws MalformedException {
        return next(in, true);
    }

    /**
     * The next answer, or null until it has come whole.
     *
     * @param keep whether anybody waits for it: a large value that nobody does is passed over and comes without body
     * @throws MalformedException where the bytes are no answer that a cache server gives
     */
    public Answer next(RingBuffer in, boolean keep) throws MalformedException {
        if (flowing) {
            return null;
        }
        if (large != null) {
            return collect(in);
        }
        int line = Protocol.lineLength(in);
        if (line < 0) {
            return null;
        }
        String[] words = Protocol.words(in, line);
        switch (words[0]) {
            case "VA":
                return value(in, line, words, keep);
            case "HD":
                in.skip(line);
                return new Answer(
                        Answer.Kind.RECEIPT,
                        flag(words, 1, 'O'),
                        flag(words, 1, 'c').getBytes(StandardCharsets.ISO_8859_1),
                        Answer.Hit.UNTOLD,
                        0,
                        reports.read(words));
            case "MN":
                in.skip(line);
                return plain(Answer.Kind.ALIVE, words);
            case "SERVER_ERROR":
                in.skip(line);
                return plain(
                        words.length > 1 && words[1].equals("busy") ? Answer.Kind.BUSY : Answer.Kind.FAILED, words);
            default:
                throw new MalformedException("no answer");
        }
    }

    private Answer value(RingBuffer in, int line, String[] words, boolean keep) throws MalformedException {
        int announced = words.length < 2 ? -1 : Protocol.valueLength(words[1]);
        if (announced < 0 || announced > LARGEST_VALUE) {
            throw new MalformedException("bad value length");
        }
        if (announced >= LARGE) {
            boolean flows = announced > Protocol.LARGEST_VALUE && keep;
            blocked = keep && !flows && !room.take(announced);
            // One that flows not before its first byte is there. Guards against a claim that nothing follows.
            if (blocked || flows && in.size() == line) {
                return null;
            }
            in.skip(line);
            large = words;
            length = announced;
            got = 0;
            kept = keep && !flows;
            flowing = flows;
            return flows ? value(words, Answer.NO_BODY, announced) : collect(in);
        }
        if (in.size() < line + announced + 2) {
            return null;
        }
        byte[] value = Protocol.value(in, line, announced);
        in.skip(line + announced + 2);
        return value(words, value, 0);
    }

    private Answer collect(RingBuffer in) throws MalformedException {
        int n = Math.min(in.size(), length - got);
        if (kept && got + n > body.length) {
            body = Arrays.copyOf(body, Math.min(length, Math.max(got + n, Math.max(AT_FIRST, 2 * body.length))));
        }
        if (kept) {
            in.copyTo(body, got, n);
        }
        passOver(in);
        if (!takesEnd(in)) {
            return null;
        }
        Answer whole = value(large, body, 0);
        drop();
        return whole;
    }

    private Answer value(String[] words, byte[] value, int flow) {
        Answer.Hit hit = switch (flag(words, 2, 'h')) {
            case "1" -> Answer.Hit.HIT;
            case "0" -> Arrays.asList(words).contains("Z") ? Answer.Hit.MISS_FETCHING : Answer.Hit.MISS;
            default -> Answer.Hit.UNTOLD;
        };
        return new Answer(Answer.Kind.VALUE, flag(words, 2, 'O'), value, hit, flow, reports.read(words));
    }

    private Answer plain(Answer.Kind kind, String[] words) {
        return new Answer(kind, "", Answer.NO_BODY, Answer.Hit.UNTOLD, 0, reports.read(words));
    }

    private static String flag(String[] words, int from, char letter) {
        for (int i = from; i < words.length; i++) {
            if (!words[i].isEmpty() && words[i].charAt(0) == letter) {
                return words[i].substring(1);
            }
        }
        return "";
    }
}
