package stagepier.memcache;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Feeds bytes to a parser in pieces, through a ring as a link does; the one helper of the parser tests. */
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

    /** What the parser makes of the bytes, cut at random; it never sees more than a ring holds. */
    static <T> List<T> parse(Parser<T> parser, byte[] bytes, long seed) throws MalformedException {
        Random random = new Random(seed);
        RingBuffer ring = new RingBuffer();
        List<T> all = new ArrayList<>();
        int at = 0;
        while (at < bytes.length) {
            int most = Math.min(ring.free(), bytes.length - at);
            int n = random.nextBoolean() ? Math.min(most, 1 + random.nextInt(7)) : 1 + random.nextInt(most);
            ring.put(ByteBuffer.wrap(bytes, at, n));
            at += n;
            for (T one = parser.next(ring); one != null; one = parser.next(ring)) {
                all.add(one);
            }
            if (ring.free() == 0) {
                throw new IllegalStateException("a full ring without a message would stop the link for ever");
            }
        }
        return all;
    }
}
