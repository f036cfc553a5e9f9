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

/** Checks that decisions for one customer leave no state in the process that affects those for another. */
class TwoCustomersTest {
    private static final int ROUNDS = 150;
    /** Round of a restart, at which the state of the other instance is still in the process. */
    private static final int RESTART_ROUND = 90;

    private static final double STEP_S = 0.02;

    /** A run of a single balancer; its events follow from its own actions. */
    private static final class InstanceRun {
        private final int instance;
        private final String settings;
        private final int classes;
        private final SplittableRandom random;
        private final List<List<Consumer<Batch>>> eventsByRound = new ArrayList<>();
        private final TreeMap<Double, List<Long>> timers = new TreeMap<>();
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final List<Action> unansweredSends = new ArrayList<>();
        private List<List<Action>> replies = List.of();
        private long lastId;

        InstanceRun(int instance, String settings, int classes) {
            this.instance = instance;
            this.settings = settings;
            this.classes = classes;
            random = new SplittableRandom(instance);
        }

        InstanceRun execute() throws IOException {
            for (int round = 0; round < ROUNDS; round++) {
                eventsByRound.add(events(round));
                byte[][] batches = new byte[round + 1][];
                for (int i = 0; i <= round; i++) {
                    batches[i] = batch(i, List.of(eventsByRound.get(i)));
                }
                replies = AdapterTest.replies(batches);
                replies.get(round).forEach(action -> onAction(now(eventsByRound.size() - 1), action));
            }
            return this;
        }

        private List<Consumer<Batch>> events(int round) {
            List<Consumer<Batch>> events = new ArrayList<>();
            if (round == 0 || round == RESTART_ROUND) {
                if (round > 0) {
                    events.add(b -> b.instanceStop(instance));
                }
                timers.clear();
                unansweredSends.clear();
                events.add(b -> b.instanceStart(instance, settings));
                events.add(b -> b.memberTable(instance, 11, 12, 13, 14, 15, 16));
                events.add(b -> b.discovery(instance, 2, instance));
            }
            while (!timers.isEmpty() && timers.firstKey() <= now(round)) {
                timers.pollFirstEntry().getValue().forEach(token -> events.add(b -> b.timerDue(instance, token)));
            }
            for (Action send : List.copyOf(unansweredSends)) {
                if (random.nextInt(3) > 0) {
                    unansweredSends.remove(send);
                    int attempt = attempts.merge(send.id(), 1, Integer::sum) - 1;
                    int outcome = random.nextInt(4) > 0 ? 0 : 1 + random.nextInt(5);
                    events.add(b -> b.response(instance, send.id(), attempt, send.server(), outcome, outcome == 0));
                }
            }
            for (int i = random.nextInt(4); i > 0; i--) {
                long id = ++lastId;
                int classIndex = random.nextInt(classes);
                int tenant = random.nextInt(2);
                long key = 1 + random.nextInt(30);
                events.add(b -> b.request(instance, id, classIndex, tenant, key));
            }
            return events;
        }

        private void onAction(double now, Action action) {
            assertNotEquals(1090, action.code(), "the module reported a fault");
            if (action.code() == 1020) {
                unansweredSends.add(action);
            } else if (action.code() == 1040) {
                double at = now + action.fields().getDouble(2);
                timers.computeIfAbsent(at, t -> new ArrayList<>())
                        .add(action.fields().getLong(10));
            }
        }
    }

    private static double now(int round) {
        return 7 + round * STEP_S;
    }

    /** Interleaves the events of several instances; the events of one instance keep their order. */
    private static byte[] batch(int round, List<List<Consumer<Batch>>> events) {
        Batch batch = new Batch(now(round));
        int longest = events.stream().mapToInt(List::size).max().orElse(0);
        for (int i = 0; i < longest; i++) {
            for (List<Consumer<Batch>> one : events) {
                if (i < one.size()) {
                    one.get(i).accept(batch);
                }
            }
        }
        return batch.bytes();
    }

    /** Returns the actions of one instance in each round, as bytes. */
    private static List<String> actions(List<List<Action>> replies, int instance) {
        return replies.stream()
                .map(reply -> reply.stream()
                        .filter(a -> a.instance() == instance)
                        .map(a -> a.code() + ":"
                                + HexFormat.of().formatHex(a.fields().array()))
                        .reduce("", (all, one) -> all + one + "\n"))
                .toList();
    }

    private static long sends(InstanceRun run) {
        return run.replies.stream()
                .flatMap(List::stream)
                .filter(a -> a.code() == 1020)
                .count();
    }

    @Test
    void instancesInOneProcessAnswerAsInSeparateProcesses() throws IOException {
        InstanceRun pages = new InstanceRun(1, Customers.PAGES, 3).execute();
        InstanceRun credit = new InstanceRun(2, Customers.CREDIT, 1).execute();
        byte[][] both = new byte[ROUNDS][];
        for (int i = 0; i < ROUNDS; i++) {
            both[i] = batch(i, List.of(pages.eventsByRound.get(i), credit.eventsByRound.get(i)));
        }
        List<List<Action>> together = AdapterTest.replies(both);
        assertEquals(actions(pages.replies, 1), actions(together, 1));
        assertEquals(actions(credit.replies, 2), actions(together, 2));
        assertTrue(
                sends(pages) > 100 && sends(credit) > 100,
                sends(pages) + " and " + sends(credit) + " sends are too few");
    }

    private static Command command(String className) throws MalformedException {
        RingBuffer ring = new RingBuffer();
        ring.put(("mg k v Oa Pc=" + className + ",d=300\r\n").getBytes(StandardCharsets.ISO_8859_1));
        return CommandParser.next(ring);
    }

    @Test
    void settingsOfTwoCustomersAreParsedIndependently() {
        SettingsParser.Parsed pages = SettingsParser.parse(Customers.PAGES);
        SettingsParser.Parsed credit = SettingsParser.parse(Customers.CREDIT);
        assertEquals(pages, SettingsParser.parse(Customers.PAGES));
        assertEquals(credit, SettingsParser.parse(Customers.CREDIT));
        assertEquals(
                List.of("article", "article-list", "article-list-edit"),
                pages.names().classes());
        assertEquals(List.of("score"), credit.names().classes());
    }

    /** Runs two hosts on one event loop, unlike any deployment, so that any shared state of the process would show. */
    @Test
    void eachHostAcceptsOnlyItsOwnClasses() throws MalformedException {
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
