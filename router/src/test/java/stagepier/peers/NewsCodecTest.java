package stagepier.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import stagepier.Api;

class NewsCodecTest {
    private static List<Api.News> some(SplittableRandom random, int n) {
        List<Api.News> news = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            news.add(new Api.News(random.nextLong(1L << 32), random.nextInt(128), random.nextBoolean()));
        }
        return news;
    }

    @Property(seed = "17", tries = 200)
    void whatIsToldIsHeardAsFarAsAMessageHoldsIt(@ForAll long seed, @ForAll @IntRange(max = 90) int n) {
        List<Api.News> news = some(new SplittableRandom(seed), n);
        byte[] message = NewsCodec.encode(news);
        assertTrue(message.length <= NewsCodec.BYTES_MOST, message.length + " bytes");
        assertEquals(news.subList(0, Math.min(n, NewsCodec.ENTRIES_MOST)), NewsCodec.decode(message));
    }

    /** Guards against a cut or strange datagram being taken in part. */
    @Property(seed = "18", tries = 300)
    void aCutMessageIsNone(@ForAll long seed, @ForAll @IntRange(min = 1, max = 50) int n) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] whole = NewsCodec.encode(some(random, n));
        byte[] cut = java.util.Arrays.copyOf(whole, random.nextInt(whole.length));
        assertThrows(IllegalArgumentException.class, () -> NewsCodec.decode(cut));
    }

    @Property(seed = "19", tries = 500)
    void garbageIsRefusedOrIsAMessage(@ForAll @Size(max = 300) byte[] garbage) {
        try {
            assertTrue(NewsCodec.decode(garbage).size() <= NewsCodec.ENTRIES_MOST);
        } catch (IllegalArgumentException expected) {
            assertTrue(expected.getMessage().contains("bytes"));
        }
    }
}
