package stagepier.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import stagepier.exchange.Clock;
import stagepier.exchange.ModuleHost;
import stagepier.memcache.Command;
import stagepier.memcache.CommandParser;
import stagepier.memcache.MalformedException;
import stagepier.memcache.RingBuffer;
import stagepier.overload.LoopDelay;
import stagepier.settings.SettingsParser;

/** Guards against anything that decisions for one customer leave behind in the process for those of another. */
class TwoCustomersTest {
    private static final int ROUNDS = 150;
    /** A restart with the other's state still in the process. */
    private static final int RESTART = 90;

    private static final double STEP = 0.02;

    /** One balancer's day, played alone: what it is told follows from what it did. */
    private static final class Day {
        private final int who;
        private final String settings;
        private final int classes;
        private final SplittableRandom random;
        private final List<List<Consumer<Batch>>> told = new ArrayList<>();
        private final TreeMap<Double, List<Long>> timers = new TreeMap<>();
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final List<Action> toAnswer = new ArrayList<>();
        private List<List<Action>> replies = List.of();
        private long lastId;

        Day(int who, String settings, int classes) {
            this.who = who;
            this.settings = settings;
            this.classes = classes;
            random = new SplittableRandom(who);
        }

        Day play() throws IOException {
            for (int round = 0; round < ROUNDS; round++) {
                told.add(events(round));
                byte[][] batches = new byte[round + 1][];
                for (int i = 0; i <= round; i++) {
                    batches[i] = batch(i, List.of(told.get(i)));
                }
                replies = AdapterTest.replies(batches);
                replies.get(round).forEach(action -> heard(now(told.size() - 1), action));
            }
            return this;
        }

        private List<Consumer<Batch>> events(int round) {
            List<Consumer<Batch>> events = new ArrayList<>();
            if (round == 0 || round == RESTART) {
                if (round > 0) {
                    events.add(b -> b.killed(who));
                }
                timers.clear();
                toAnswer.clear();
                events.add(b -> b.up(who, settings));
                events.add(b -> b.list(who, 11, 12, 13, 14, 15, 16));
                events.add(b -> b.discovery(who, 2, who));
            }
            while (!timers.isEmpty() && timers.firstKey() <= now(round)) {
                timers.pollFirstEntry().getValue().forEach(token -> events.add(b -> b.due(who, token)));
            }
            for (Action send : List.copyOf(toAnswer)) {
                if (random.nextInt(3) > 0) {
                    toAnswer.remove(send);
                    int attempt = attempts.merge(send.id(), 1, Integer::sum) - 1;
                    int verdict = random.nextInt(4) > 0 ? 0 : 1 + random.nextInt(5);
                    events.add(b -> b.response(who, send.id(), attempt, send.server(), verdict, verdict == 0));
                }
            }
            for (int i = random.nextInt(4); i > 0; i--) {
                long id = ++lastId;
                int classIndex = random.nextInt(classes);
                int tenant = random.nextInt(2);
                long key = 1 + random.nextInt(30);
                events.add(b -> b.request(who, id, classIndex, tenant, key));
            }
            return events;
        }

        private void heard(double now, Action action) {
            assertNotEquals(1090, action.code(), "a fault");
            if (action.code() == 1020) {
                toAnswer.add(action);
            } else if (action.code() == 1040) {
                double at = now + action.fields().getDouble(2);
                timers.computeIfAbsent(at, t -> new ArrayList<>())
                        .add(action.fields().getLong(10));
            }
        }
    }

    private static double now(int round) {
        return 7 + round * STEP;
    }

    /** The events of several in turn, each one's in its own order. */
    private static byte[] batch(int round, List<List<Consumer<Batch>>> events) {
        Batch batch = new Batch(now(round));
        int most = events.stream().mapToInt(List::size).max().orElse(0);
        for (int i = 0; i < most; i++) {
            for (List<Consumer<Batch>> one : events) {
                if (i < one.size()) {
                    one.get(i).accept(batch);
                }
            }
        }
        return batch.bytes();
    }

    /** What one did in each round, in bytes. */
    private static List<String> actions(List<List<Action>> replies, int who) {
        return replies.stream()
                .map(reply -> reply.stream()
                        .filter(a -> a.who() == who)
                        .map(a -> a.code() + ":"
                                + HexFormat.of().formatHex(a.fields().array()))
                        .reduce("", (all, one) -> all + one + "\n"))
                .toList();
    }

    private static long sends(Day day) {
        return day.replies.stream()
                .flatMap(List::stream)
                .filter(a -> a.code() == 1020)
                .count();
    }

    @Test
    void eachAnswersInOneProcessAsAlone() throws IOException {
        Day pages = new Day(1, Customers.PAGES, 3).play();
        Day credit = new Day(2, Customers.CREDIT, 1).play();
        byte[][] both = new byte[ROUNDS][];
        for (int i = 0; i < ROUNDS; i++) {
            both[i] = batch(i, List.of(pages.told.get(i), credit.told.get(i)));
        }
        List<List<Action>> together = AdapterTest.replies(both);
        assertEquals(actions(pages.replies, 1), actions(together, 1));
        assertEquals(actions(credit.replies, 2), actions(together, 2));
        assertTrue(sends(pages) > 100 && sends(credit) > 100, sends(pages) + " and " + sends(credit) + " show nothing");
    }

    private static Command command(String className) throws MalformedException {
        RingBuffer ring = new RingBuffer();
        ring.put(("mg k v Oa Pc=" + className + ",d=300\r\n").getBytes(StandardCharsets.ISO_8859_1));
        return CommandParser.next(ring);
    }

    @Test
    void eachSettingsAreReadAsAlone() {
        SettingsParser.Parsed pages = SettingsParser.parse(Customers.PAGES);
        SettingsParser.Parsed credit = SettingsParser.parse(Customers.CREDIT);
        assertEquals(pages, SettingsParser.parse(Customers.PAGES));
        assertEquals(credit, SettingsParser.parse(Customers.CREDIT));
        assertEquals(
                List.of("article", "article-list", "article-list-edit"),
                pages.names().classes());
        assertEquals(List.of("score"), credit.names().classes());
    }

    /** Two hosts on one loop, as no deployment has them: all that they could share is in the process. */
    @Test
    void eachHostTakesItsOwnClassesOnly() throws MalformedException {
        EventLoop loop = new DefaultEventLoop();
        try {
            ModuleHost pages =
                    new ModuleHost(loop, new Clock(), new LoopDelay(), SettingsParser.parse(Customers.PAGES));
            ModuleHost credit =
                    new ModuleHost(loop, new Clock(), new LoopDelay(), SettingsParser.parse(Customers.CREDIT));
            for (String name : List.of("article", "article-list", "article-list-edit")) {
                assertEquals(null, pages.rejection(command(name)));
                assertEquals("unknown class", credit.rejection(command(name)));
            }
            assertEquals(null, credit.rejection(command("score")));
            assertEquals("unknown class", pages.rejection(command("score")));
        } finally {
            loop.shutdownGracefully();
        }
    }
}
