package stagepier.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.Api;
import stagepier.memcache.CommandParser;
import stagepier.memcache.MalformedException;
import stagepier.memcache.RingBuffer;
import stagepier.overload.LoopDelay;
import stagepier.settings.SettingsParser;

/** Checks the translation between sockets and the module, with a module that records its events. */
class ModuleHostTest {
    private static final String SETTINGS = """
            {"Classes":[{"Name":"c","Deadline":2,"Repeat":"idempotent"}],"FamilyInfo":{"Mode":"through"},
            "Limits":{"MaxAttempts":1}}""";

    private final EventLoop loop = new DefaultEventLoop();
    private final Clock clock = new Clock();
    private final LoopDelay delay = new LoopDelay();
    private final ModuleHost host = new ModuleHost(loop, clock, delay, SettingsParser.parse(SETTINGS));
    private final List<String> events = new ArrayList<>();
    private final List<Reply> replies = new ArrayList<>();

    /** Sends each request twice and records the outcomes. */
    private class Module extends NoOpEvents {
        private boolean inside;

        @Override
        public void onRequest(double now, Api.Request r) {
            inside = true;
            host.send(r.id(), 1, 1);
            host.send(r.id(), 1, 1);
            inside = false;
        }

        @Override
        public void onOutcome(
                double now,
                long request,
                int attempt,
                long server,
                Api.Outcome outcome,
                double elapsed,
                boolean finished,
                Api.Lookup lookup,
                float[] report) {
            events.add((inside ? "inside " : "") + attempt + " " + outcome + " " + lookup + " " + finished);
        }

        @Override
        public void onMembers(double now, boolean complete, List<Api.Member> members) {
            events.add("list " + complete);
        }

        @Override
        public void onClientGone(double now, long request) {
            events.add("gone");
        }
    }

    /** Passes a command to a host whose transport ends every send at once with the given outcome. */
    private void take(String line, Api.Outcome outcome) throws MalformedException {
        AtomicInteger cancels = new AtomicInteger();
        host.connect(new Module(), new NoOpTransport() {
            @Override
            public Transmission send(Exchange x, int attempt, long server, double timeout) {
                host.ended(x, attempt, server, outcome, 0, ResponseInfo.NONE, new byte[0]);
                return cancels::incrementAndGet;
            }
        });
        RingBuffer ring = new RingBuffer();
        ring.put(line.getBytes(StandardCharsets.ISO_8859_1));
        host.take((x, reply) -> replies.add(reply), CommandParser.next(ring), Double.POSITIVE_INFINITY);
    }

    @AfterEach
    void stop() {
        loop.shutdownGracefully();
    }

    /** Returns a write of which an attempt is out that nobody answers. */
    private Exchange takeWriteThatHangs() throws MalformedException {
        List<Exchange> sent = new ArrayList<>();
        host.connect(new Module(), new NoOpTransport() {
            @Override
            public Transmission send(Exchange x, int attempt, long server, double timeout) {
                sent.add(x);
                return () -> {};
            }
        });
        RingBuffer ring = new RingBuffer();
        ring.put("ms k 5 Oa Pc=c,d=900\r\nvalue\r\n".getBytes(StandardCharsets.ISO_8859_1));
        host.take((x, reply) -> replies.add(reply), CommandParser.next(ring), Double.POSITIVE_INFINITY);
        return sent.get(0);
    }

    /** Prevents attempts that hang at cache servers from filling the heap with values of writes that are answered. */
    @Test
    void valueOfAnAnsweredWriteIsFreedThoughAnAttemptIsStillOut() throws Exception {
        Exchange write = takeWriteThatHangs();
        assertEquals(5, write.command().value().length);
        host.fail(write.id());
        assertEquals(1, replies.size());
        assertEquals(0, write.command().value().length);
    }

    /** Prevents clients that send many writes and leave from filling the heap with their values. */
    @Test
    void valueOfAWriteIsFreedWhenItsClientHasGoneThoughAnAttemptIsStillOut() throws Exception {
        Exchange write = takeWriteThatHangs();
        host.clientGone(write);
        assertEquals(0, write.command().value().length);
    }

    /** Without the lookup result MISS, as the simulator reports for writes, a write would make its server look slow. */
    @Test
    void answeredWriteIsReportedAsMiss() throws Exception {
        take("ms k 1 Oa Pc=c,d=900\r\nx\r\n", Api.Outcome.OK);
        take("mg k v Ob Pc=c,d=900\r\n", Api.Outcome.OK);
        assertEquals("0 OK UNKNOWN true", events.get(2));
        assertEquals("0 OK MISS true", events.get(0));
    }

    /** Prevents decisions on a stale server list, and list changes that are applied out of order. */
    @Test
    void afterAStallTheModuleReceivesListUpdatesInOrderBeforeOtherEvents() throws Exception {
        List<Runnable> waiting = new ArrayList<>();
        host.connectList(waiting::add);
        delay.onPoll(clock.now() - 0.6);
        take("mg k v Oa Pc=c,d=900\r\n", Api.Outcome.OK);
        assertEquals(List.of(), events);
        assertEquals(true, host.mustWaitForList(() -> events.add("sent")));
        host.members(true, List.of());
        host.members(false, List.of());
        assertEquals(List.of("list true", "list false"), events);
        waiting.get(0).run();
        assertEquals(
                List.of("list true", "list false", "sent", "0 OK UNKNOWN true", "1 NOT_SENT UNKNOWN true"), events);
        take("mg k v Ob Pc=c,d=900\r\n", Api.Outcome.OK);
        assertEquals(1, waiting.size(), "the process has not stalled again");
    }

    @Test
    void eventArisingInsideAnEventIsDeliveredAfterItAndAnsweredOnce() throws Exception {
        take("mg k v Oa Pc=c,d=900\r\n", Api.Outcome.OK);
        assertEquals(List.of("0 OK UNKNOWN true", "1 NOT_SENT UNKNOWN true"), events);
        assertEquals(1, replies.size());
        assertEquals(Reply.Kind.SERVED, replies.get(0).kind());
    }

    /**
     * Fails if the host does not delay its overdue answer once more: it then answers in place of the module 3 ms before
     * the module learns the outcome.
     */
    @Test
    @Timeout(10)
    void lateEventLoopLeavesTheFinalAnswerToTheModule() throws Exception {
        AtomicLong overdue = new AtomicLong(-1);
        CountDownLatch answered = new CountDownLatch(1);
        loop.submit(() -> {
                    host.connect(
                            new Module() {
                                @Override
                                public void onRequest(double now, Api.Request r) {
                                    host.send(r.id(), 1, 0);
                                }

                                @Override
                                public void onOutcome(
                                        double now,
                                        long request,
                                        int attempt,
                                        long server,
                                        Api.Outcome outcome,
                                        double elapsed,
                                        boolean finished,
                                        Api.Lookup lookup,
                                        float[] report) {
                                    host.refuse(request, 0);
                                }
                            },
                            new SilentTransport());
                    RingBuffer ring = new RingBuffer();
                    ring.put("mg k v Oa Pc=c,d=50\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    host.take(
                            (x, reply) -> {
                                replies.add(reply);
                                host.count((name, value) ->
                                        overdue.set(name.equals("requests_overdue") ? value : overdue.get()));
                                answered.countDown();
                            },
                            CommandParser.next(ring),
                            Double.POSITIVE_INFINITY);
                    // The loop is blocked until all its timers are due.
                    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(100);
                    while (System.nanoTime() < until) {
                        Thread.onSpinWait();
                    }
                    return null;
                })
                .get();
        answered.await();
        assertEquals(0, overdue.get());
        assertEquals(
                List.of(Reply.Kind.THROTTLE), replies.stream().map(Reply::kind).toList());
    }

    /**
     * A transport without answers, whose executions check once more before they time out, as they do on a late loop.
     */
    private final class SilentTransport extends NoOpTransport {
        @Override
        public Transmission send(Exchange x, int attempt, long server, double timeout) {
            loop.schedule(
                    () -> loop.schedule(
                            () -> host.ended(x, attempt, server, Api.Outcome.TIMEOUT, 0, ResponseInfo.NONE, null),
                            1,
                            TimeUnit.MILLISECONDS),
                    (long) (timeout * 1e6),
                    TimeUnit.MICROSECONDS);
            return () -> {};
        }
    }
}
