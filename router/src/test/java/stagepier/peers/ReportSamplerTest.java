package stagepier.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import stagepier.Api;

class ReportSamplerTest {
    private final ReportSampler sampler = new ReportSampler(6);

    private static List<Api.ServerReport> entries(int open, int all) {
        return IntStream.range(0, all)
                .mapToObj(server -> new Api.ServerReport(server, 1, server < open))
                .toList();
    }

    @Test
    void reportThatFitsIsUnchanged() {
        List<Api.ServerReport> entries = entries(3, 49);
        assertSame(entries, sampler.choose(entries, 49));
    }

    /** A router with attempts at many servers must not always report the same ones. */
    @Test
    void openCircuitsAreAlwaysSelectedAndOthersEquallyOften() {
        Map<Long, Integer> selected = new HashMap<>();
        for (int i = 0; i < 4000; i++) {
            List<Api.ServerReport> chosen = sampler.choose(entries(9, 209), 49);
            assertEquals(49, new HashSet<>(chosen).size());
            chosen.forEach(entry -> selected.merge(entry.server(), 1, Integer::sum));
        }
        for (long server = 0; server < 9; server++) {
            assertEquals(4000, selected.get(server));
        }
        for (long server = 9; server < 209; server++) {
            assertEquals(800, selected.get(server), 120, "server " + server);
        }
    }

    @Test
    void excessOpenCircuitsAreSelectedEquallyOften() {
        Map<Long, Integer> selected = new HashMap<>();
        for (int i = 0; i < 1000; i++) {
            List<Api.ServerReport> chosen = sampler.choose(entries(98, 200), 49);
            assertTrue(chosen.stream().allMatch(Api.ServerReport::open));
            chosen.forEach(entry -> selected.merge(entry.server(), 1, Integer::sum));
        }
        IntStream.range(0, 98).forEach(server -> assertEquals(500, selected.get((long) server), 90));
    }
}
