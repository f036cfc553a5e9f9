package stagepier.memcache;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Helper of the parser tests: feeds bytes to a parser in pieces, through a ring buffer as a link does. */
final class Wire {
    /** A parser under test. */
    interface Parser<T> {
        T next(RingBuffer in) throws MalformedException;
    }

    private Wire() {}

    static RingBuffer ring(byte[] bytes) {
        RingBuffer ring = new RingBuffer();
        ring.put(bytes);
        return ring;
    }

    /** Returns the messages parsed from the bytes, which are cut at random into pieces that fit the ring buffer. */
    static <T> List<T> parse(Parser<T> parser, byte[] bytes, long seed) throws MalformedException {
        Random random = new Random(seed);
        RingBuffer ring = new RingBuffer();
        List<T> messages = new ArrayList<>();
        int at = 0;
        while (at < bytes.length) {
            int limit = Math.min(ring.free(), bytes.length - at);
            int n = random.nextBoolean() ? Math.min(limit, 1 + random.nextInt(7)) : 1 + random.nextInt(limit);
            ring.put(ByteBuffer.wrap(bytes, at, n));
            at += n;
            for (T message = parser.next(ring); message != null; message = parser.next(ring)) {
                messages.add(message);
            }
            if (ring.free() == 0) {
                throw new IllegalStateException("a full ring buffer without a whole message would block the link");
            }
        }
        return messages;
    }
}
