package stagepier.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stagepier.Api;

/**
 * What all other routers have told, added up by server. The last word of each counts until the next, or until it has been
 * silent for long: a router that died, or whose words are lost, must not keep a server busy for ever. Free of I/O and clock.
 */
public final class PeerView {
    /** Seconds after which the last word of a router that has fallen silent counts no more. */
    static final double FORGOTTEN_AFTER = 1;

    private record Word(double at, List<Api.News> news) {
    }

    private final Map<Integer, Word> words = new HashMap<>();

    /** Takes a router's word and returns the sum of all that still count, each server once. */
    public List<Api.Elsewhere> heard(double now, int peer, List<Api.News> news) {
        words.put(peer, new Word(now, news));
        words.values().removeIf(word -> now - word.at() > FORGOTTEN_AFTER);
        Map<Long, int[]> sums = new HashMap<>();
        for (Word word : words.values()) {
            for (Api.News n : word.news()) {
                int[] sum = sums.computeIfAbsent(n.server(), server -> new int[2]);
                sum[0] += n.inFlight();
                sum[1] += n.open() ? 1 : 0;
            }
        }
        List<Api.Elsewhere> all = new ArrayList<>(sums.size());
        sums.forEach((server, sum) -> all.add(new Api.Elsewhere(server, sum[0], sum[1])));
        return all;
    }
}
