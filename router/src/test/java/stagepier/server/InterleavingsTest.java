package stagepier.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.Api;
import stagepier.exchange.Exchange;

/**
 * What a cache server and the network do, in ten thousand seeded orders: each attempt ends exactly once, and none that a server
 * has seen is said never to have run, unless it was refused.
 */
@Timeout(120)
class InterleavingsTest {
    private static final int SEEDS = 10_000;
    private static final int STEPS = 40;
    private static final int SERVERS = 2;
    private static final double SECOND_WITHIN = 0.03;
    private static final Pattern ID = Pattern.compile(" O(\\S+) Pc=");

    /** A link, seen from the cache server. */
    private static final class Side {
        private final EmbeddedChannel channel;
        private final ArrayDeque<String> due = new ArrayDeque<>();
        private String last;
        private double answeredAt;

        Side(EmbeddedChannel channel) {
            this.channel = channel;
        }

        void write(String text) {
            if (channel.isActive()) {
                channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
            }
        }

        void answer(String text, double now) {
            last = text;
            answeredAt = now;
            write(text);
        }
    }

    /** One play. */
    private static final class Play {
        private final Random random;
        private final EmbeddedChannel time = new EmbeddedChannel();
        private final PoolBench bench;
        private final List<Runnable> connecting = new ArrayList<>();
        private final List<Side> sides = new ArrayList<>();
        private final Set<String> seen = new HashSet<>();
        private final Set<String> refused = new HashSet<>();
        private final Map<Long, String> asked = new HashMap<>();

        Play(long seed) {
            random = new Random(seed);
            time.freezeTime();
            bench = new PoolBench(time.eventLoop(), this::connect, 8, 20);
            for (int i = 1; i <= SERVERS; i++) {
                bench.pools.ready(i, new InetSocketAddress(i), 0);
            }
        }

        private ChannelFuture connect(ChannelHandler setUp, InetSocketAddress address) {
            ChannelPromise up = time.newPromise();
            connecting.add(() -> {
                if (random.nextInt(5) == 0) {
                    up.setFailure(new java.net.ConnectException());
                    return;
                }
                Side side = new Side(new EmbeddedChannel(setUp));
                sides.add(side);
                up.setSuccess();
            });
            return up;
        }

        /** Takes what has been written, and lets happen what is due. */
        private void settle() {
            for (Side s : sides) {
                s.channel.runPendingTasks();
                for (ByteBuf bytes = s.channel.readOutbound(); bytes != null; bytes = s.channel.readOutbound()) {
                    Matcher ids = ID.matcher(bytes.toString(StandardCharsets.ISO_8859_1));
                    while (ids.find()) {
                        s.due.add(ids.group(1));
                        seen.add(ids.group(1));
                    }
                    bytes.release();
                }
            }
            time.runPendingTasks();
        }

        private void pass(int ms) {
            bench.pass(ms / 1e3);
            time.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
            time.runScheduledPendingTasks();
        }

        private void step() {
            Side s = sides.isEmpty() ? null : sides.get(random.nextInt(sides.size()));
            String id = s == null ? null : s.due.peek();
            switch (random.nextInt(12)) {
                case 0, 1, 2 -> {
                    String fresh = "r" + asked.size();
                    Exchange x = bench.ask(fresh, 1 + random.nextInt(SERVERS), random.nextInt(4) == 0 ? 0.05 : 60);
                    asked.put(x.id(), fresh);
                }
                case 3, 4 -> {
                    if (!connecting.isEmpty()) {
                        connecting.remove(random.nextInt(connecting.size())).run();
                    }
                }
                case 5, 6 -> {
                    if (id != null) {
                        s.due.remove();
                        s.answer("HD O" + id + "\r\n", bench.clock.now());
                    }
                }
                case 7 -> {
                    if (id != null) {
                        s.due.remove();
                        refused.add(id);
                        s.answer("SERVER_ERROR busy\r\n", bench.clock.now());
                    }
                }
                case 8 -> {
                    // A second answer comes within some ms of the first or not at all.
                    if (s != null && s.last != null && bench.clock.now() - s.answeredAt < SECOND_WITHIN) {
                        s.write(s.last);
                        s.last = null;
                    }
                }
                case 9 -> {
                    if (s != null) {
                        s.write(random.nextBoolean() ? "HD O" : "VA 20000 Oa h1\r\nx");
                    }
                }
                case 10 -> {
                    if (s != null && random.nextInt(3) == 0) {
                        s.channel.close();
                    } else if (!asked.isEmpty()) {
                        bench.host.cancel(1 + random.nextInt(asked.size()), 0);
                    }
                }
                default -> pass(random.nextInt(4) == 0 ? 1000 : random.nextInt(10));
            }
            settle();
        }

        private void end() {
            for (int i = 0; i < 8; i++) {
                pass(1000);
                settle();
            }
            Map<Long, Integer> ends = new HashMap<>();
            for (PoolBench.End e : bench.ended()) {
                ends.merge(e.request(), 1, Integer::sum);
                String id = asked.get(e.request());
                boolean hidden = e.outcome().neverRan() && seen.contains(id);
                assertTrue(!hidden || e.outcome() == Api.Outcome.FULL && refused.contains(id), id + " " + e.outcome());
            }
            asked.keySet().forEach(request -> assertEquals(1, ends.get(request), "ends of " + asked.get(request)));
            sides.forEach(s -> s.channel.finishAndReleaseAll());
            bench.pools.close();
        }
    }

    @Test
    void eachAttemptEndsOnceAndNoneThatWasSeenIsSaidNeverToHaveRun() {
        for (long seed = 0; seed < SEEDS; seed++) {
            Play play = new Play(seed);
            try {
                for (int i = 0; i < STEPS; i++) {
                    play.step();
                }
                play.end();
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed, e);
            }
        }
    }
}
