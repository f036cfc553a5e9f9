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
 * Runs ten thousand seeded sequences of cache server and network events. Each attempt must end exactly once, and none
 * that a server has received may end with an outcome that says it never ran, unless the server refused it.
 */
@Timeout(120)
class InterleavingsTest {
    private static final int SEEDS = 10_000;
    private static final int STEPS = 40;
    private static final int SERVERS = 2;
    private static final double DUPLICATE_WITHIN = 0.03;
    private static final Pattern ID = Pattern.compile(" O(\\S+) Pc=");

    /** The cache server's side of a link. */
    private static final class ServerSide {
        private final EmbeddedChannel channel;
        private final ArrayDeque<String> unanswered = new ArrayDeque<>();
        private String lastAnswer;
        private double answeredAt;

        ServerSide(EmbeddedChannel channel) {
            this.channel = channel;
        }

        void write(String text) {
            if (channel.isActive()) {
                channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
            }
        }

        void answer(String text, double now) {
            lastAnswer = text;
            answeredAt = now;
            write(text);
        }
    }

    /** One simulated sequence. */
    private static final class Simulation {
        private final Random random;
        private final EmbeddedChannel time = new EmbeddedChannel();
        private final PoolFixture fixture;
        private final List<Runnable> pendingConnects = new ArrayList<>();
        private final List<ServerSide> sides = new ArrayList<>();
        private final Set<String> receivedIds = new HashSet<>();
        private final Set<String> refusedIds = new HashSet<>();
        private final Map<Long, String> idsByRequest = new HashMap<>();

        Simulation(long seed) {
            random = new Random(seed);
            time.freezeTime();
            fixture = new PoolFixture(time.eventLoop(), this::connect, 8, 20);
            for (int i = 1; i <= SERVERS; i++) {
                fixture.pools.ready(i, new InetSocketAddress(i), 0);
            }
        }

        private ChannelFuture connect(ChannelHandler initializer, InetSocketAddress address) {
            ChannelPromise up = time.newPromise();
            pendingConnects.add(() -> {
                if (random.nextInt(5) == 0) {
                    up.setFailure(new java.net.ConnectException());
                    return;
                }
                ServerSide side = new ServerSide(new EmbeddedChannel(initializer));
                sides.add(side);
                up.setSuccess();
            });
            return up;
        }

        /** Takes what the links have written, and runs the tasks that are due. */
        private void runPending() {
            for (ServerSide s : sides) {
                s.channel.runPendingTasks();
                for (ByteBuf bytes = s.channel.readOutbound(); bytes != null; bytes = s.channel.readOutbound()) {
                    Matcher ids = ID.matcher(bytes.toString(StandardCharsets.ISO_8859_1));
                    while (ids.find()) {
                        s.unanswered.add(ids.group(1));
                        receivedIds.add(ids.group(1));
                    }
                    bytes.release();
                }
            }
            time.runPendingTasks();
        }

        private void advance(int ms) {
            fixture.advance(ms / 1e3);
            time.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
            time.runScheduledPendingTasks();
        }

        private void step() {
            ServerSide s = sides.isEmpty() ? null : sides.get(random.nextInt(sides.size()));
            String id = s == null ? null : s.unanswered.peek();
            switch (random.nextInt(12)) {
                case 0, 1, 2 -> {
                    String requestId = "r" + idsByRequest.size();
                    Exchange x =
                            fixture.submit(requestId, 1 + random.nextInt(SERVERS), random.nextInt(4) == 0 ? 0.05 : 60);
                    idsByRequest.put(x.id(), requestId);
                }
                case 3, 4 -> {
                    if (!pendingConnects.isEmpty()) {
                        pendingConnects
                                .remove(random.nextInt(pendingConnects.size()))
                                .run();
                    }
                }
                case 5, 6 -> {
                    if (id != null) {
                        s.unanswered.remove();
                        s.answer("HD O" + id + "\r\n", fixture.clock.now());
                    }
                }
                case 7 -> {
                    if (id != null) {
                        s.unanswered.remove();
                        refusedIds.add(id);
                        s.answer("SERVER_ERROR busy\r\n", fixture.clock.now());
                    }
                }
                case 8 -> {
                    // A duplicate answer comes within a few milliseconds of the first or not at all.
                    if (s != null && s.lastAnswer != null && fixture.clock.now() - s.answeredAt < DUPLICATE_WITHIN) {
                        s.write(s.lastAnswer);
                        s.lastAnswer = null;
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
                    } else if (!idsByRequest.isEmpty()) {
                        fixture.host.cancel(1 + random.nextInt(idsByRequest.size()), 0);
                    }
                }
                default -> advance(random.nextInt(4) == 0 ? 1000 : random.nextInt(10));
            }
            runPending();
        }

        private void end() {
            for (int i = 0; i < 8; i++) {
                advance(1000);
                runPending();
            }
            Map<Long, Integer> ends = new HashMap<>();
            for (PoolFixture.AttemptEnd e : fixture.takeEnds()) {
                ends.merge(e.request(), 1, Integer::sum);
                String id = idsByRequest.get(e.request());
                boolean claimedUnsent = e.outcome().neverRan() && receivedIds.contains(id);
                assertTrue(
                        !claimedUnsent || e.outcome() == Api.Outcome.FULL && refusedIds.contains(id),
                        id + " " + e.outcome());
            }
            idsByRequest
                    .keySet()
                    .forEach(request -> assertEquals(1, ends.get(request), "ends of " + idsByRequest.get(request)));
            sides.forEach(s -> s.channel.finishAndReleaseAll());
            fixture.pools.close();
        }
    }

    @Test
    void everyAttemptEndsOnceAndNoReceivedRequestIsReportedAsNeverRun() {
        for (long seed = 0; seed < SEEDS; seed++) {
            Simulation simulation = new Simulation(seed);
            try {
                for (int i = 0; i < STEPS; i++) {
                    simulation.step();
                }
                simulation.end();
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed, e);
            }
        }
    }
}
