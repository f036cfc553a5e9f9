package stagepier.memcache;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import stagepier.overload.MemoryBudget;

/**
 * Parses the answers in the bytes of one server connection. A value of {@link #MIN_COLLECTED_LENGTH} or more is
 * collected in a buffer of its own as its bytes arrive. A value larger than {@link Protocol#LARGEST_VALUE} is not
 * collected but streamed: its first line is returned as an answer, and the caller then moves its bytes on.
 */
public final class AnswerParser {
    /** Largest value that is forwarded, in bytes. */
    public static final int LARGEST_VALUE = 4 << 20;
    /** Values of at least this length in bytes are collected, skipped or streamed. */
    private static final int MIN_COLLECTED_LENGTH = 16 * 1024;
    /**
     * Initial buffer size in bytes of a collected value. The buffer grows as bytes arrive, so that many answers that
     * announce a large length and never send the bytes do not take that memory.
     */
    private static final int INITIAL_CAPACITY = 32 * 1024;

    /** Memory for collected values, shared by all connections. */
    private final MemoryBudget budget;

    private final LoadReportFormat reports;
    /** Words of the first line of a large value while it is collected, skipped or streamed; null otherwise. */
    private String[] largeValueWords;

    private int length;
    private int received;
    private byte[] body = Answer.NO_BODY;
    private boolean collecting;
    private boolean blocked;
    /** Set while the head of a value that is to be streamed has arrived, and no byte of the value. */
    private boolean awaitsFirstByte;
    /** Set while a value is streamed, not collected. */
    private boolean streaming;

    /** Creates a parser with unlimited memory that reads no load reports. */
    public AnswerParser() {
        this(new MemoryBudget(Long.MAX_VALUE));
    }

    /** Creates a parser that reads no load reports. */
    public AnswerParser(MemoryBudget budget) {
        this(budget, new LoadReportFormat(List.of()));
    }

    /** @param reports reads the load reports of all connections */
    public AnswerParser(MemoryBudget budget, LoadReportFormat reports) {
        this.budget = budget;
        this.reports = reports;
    }

    /** Returns whether a large value is being collected, skipped or streamed. */
    public boolean isInside() {
        return largeValueWords != null;
    }

    /** Returns whether the head of a large value has arrived that is streamed from its first byte on. */
    public boolean awaitsLargeValue() {
        return awaitsFirstByte;
    }

    /** Returns whether the parser waits for memory; the connection must not be read meanwhile. */
    public boolean isBlocked() {
        return blocked;
    }

    /** Stops collecting, skipping or streaming the current value and frees its memory. */
    public void drop() {
        if (largeValueWords != null && collecting) {
            budget.release(length);
        }
        largeValueWords = null;
        streaming = false;
        body = Answer.NO_BODY;
    }

    /** Moves bytes of the streamed value; returns their number. */
    public int move(RingBuffer in, RingBuffer to, int limit) {
        int n = to.take(in, Math.min(limit, length - received));
        received += n;
        return n;
    }

    /** Returns whether the rest of the value and its line end have arrived. */
    public boolean hasRest(RingBuffer in) {
        return in.size() >= length - received + 2;
    }

    /** Skips the bytes of the value that have arrived. */
    public void passOver(RingBuffer in) {
        int n = Math.min(in.size(), length - received);
        in.skip(n);
        received += n;
    }

    /**
     * Returns whether the streamed value has ended with its line end; if so, the next answer can be requested.
     *
     * @throws MalformedException if something other than a line end follows the value
     */
    public boolean endsFlow(RingBuffer in) throws MalformedException {
        boolean ends = takeLineEnd(in);
        if (ends) {
            drop();
        }
        return ends;
    }

    /** Returns whether all of the value has been taken; if so, skips its line end. */
    private boolean takeLineEnd(RingBuffer in) throws MalformedException {
        if (received < length || in.size() < 2) {
            return false;
        }
        Protocol.checkEnd(in, 0);
        in.skip(2);
        return true;
    }

    /** Returns the next answer with its value, as in {@link #next(RingBuffer, boolean)}. */
    public Answer next(RingBuffer in) throws MalformedException {
        return next(in, true);
    }

    /**
     * Returns the next answer, or null until it has arrived whole.
     *
     * @param keep whether the value is needed; if not, a large value is skipped and its answer has no body
     * @throws MalformedException if the bytes are not a known answer of a cache server
     */
    public Answer next(RingBuffer in, boolean keep) throws MalformedException {
        if (streaming) {
            return null;
        }
        if (largeValueWords != null) {
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
                        Answer.Hit.UNKNOWN,
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
                throw new MalformedException("unknown type of answer");
        }
    }

    private Answer value(RingBuffer in, int line, String[] words, boolean keep) throws MalformedException {
        int announced = words.length < 2 ? -1 : Protocol.valueLength(words[1]);
        if (announced < 0 || announced > LARGEST_VALUE) {
            throw new MalformedException("invalid value length");
        }
        if (announced >= MIN_COLLECTED_LENGTH) {
            boolean streams = announced > Protocol.LARGEST_VALUE && keep;
            blocked = keep && !streams && !budget.take(announced);
            // Streaming starts only when the first byte has arrived, since an announced length may be followed by
            // nothing.
            awaitsFirstByte = streams && in.size() == line;
            if (blocked || awaitsFirstByte) {
                return null;
            }
            in.skip(line);
            largeValueWords = words;
            length = announced;
            received = 0;
            collecting = keep && !streams;
            streaming = streams;
            return streams ? value(words, Answer.NO_BODY, announced) : collect(in);
        }
        if (in.size() < line + announced + 2) {
            return null;
        }
        byte[] value = Protocol.value(in, line, announced);
        in.skip(line + announced + 2);
        return value(words, value, 0);
    }

    private Answer collect(RingBuffer in) throws MalformedException {
        int n = Math.min(in.size(), length - received);
        if (collecting && received + n > body.length) {
            body = Arrays.copyOf(
                    body, Math.min(length, Math.max(received + n, Math.max(INITIAL_CAPACITY, 2 * body.length))));
        }
        if (collecting) {
            in.copyTo(body, received, n);
        }
        passOver(in);
        if (!takeLineEnd(in)) {
            return null;
        }
        Answer whole = value(largeValueWords, body, 0);
        drop();
        return whole;
    }

    private Answer value(String[] words, byte[] value, int flow) {
        Answer.Hit hit = switch (flag(words, 2, 'h')) {
            case "1" -> Answer.Hit.HIT;
            case "0" -> Arrays.asList(words).contains("Z") ? Answer.Hit.MISS_FETCHING : Answer.Hit.MISS;
            default -> Answer.Hit.UNKNOWN;
        };
        return new Answer(Answer.Kind.VALUE, flag(words, 2, 'O'), value, hit, flow, reports.read(words));
    }

    private Answer plain(Answer.Kind kind, String[] words) {
        return new Answer(kind, "", Answer.NO_BODY, Answer.Hit.UNKNOWN, 0, reports.read(words));
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
