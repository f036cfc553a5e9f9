package stagepier.app;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import stagepier.Api;
import stagepier.Brain;
import stagepier.memcache.AnswerParser;
import stagepier.memcache.Command;
import stagepier.memcache.CommandParser;
import stagepier.memcache.MalformedException;
import stagepier.memcache.Protocol;
import stagepier.memcache.RingBuffer;

/**
 * Runs decisions and parsers on made-up requests before the router serves. Guards against the first clients after a
 * start waiting for classes to load and code to compile. Its module is thrown away; no socket is touched.
 */
final class WarmUp implements Api.Host {
    private static final int SERVERS = 16;
    private static final int REQUESTS = 300;

    private record Send(long request, long server) {
    }

    private final ArrayDeque<Send> sends = new ArrayDeque<>();
    private final ArrayDeque<Long> timers = new ArrayDeque<>();

    /** Returns how many requests came back served, for a test to see that it did something. */
    static int run(Api.Settings settings) {
        return new WarmUp().play(settings);
    }

    private int play(Api.Settings settings) {
        Brain brain = new Brain(settings, 1, this);
        List<Api.Member> members = new ArrayList<>();
        for (int i = 1; i <= SERVERS; i++) {
            members.add(new Api.Member(i, 0, 0, 0, Api.MemberState.READY, 1, 0));
        }
        brain.onMembers(0, true, members);
        RingBuffer ring = new RingBuffer();
        int served = 0;
        for (int i = 1; i <= REQUESTS; i++) {
            double now = i * 0.01;
            int classIndex = i % settings.classes().size();
            double budget = settings.classes().get(classIndex).deadline();
            parse(ring, i);
            brain.onRequest(now, new Api.Request(i, classIndex, 0, i % 97 + 1L, budget, 0, false, false));
            for (Send s = sends.poll(); s != null; s = sends.poll()) {
                brain.onOutcome(now + 0.005, s.request(), 0, s.server(), Api.Outcome.OK, 0.005, true, Api.Lookup.HIT,
                        new float[0]);
                served++;
            }
            for (Long t = timers.poll(); t != null; t = timers.poll()) {
                brain.onTimer(now + 0.006, t);
            }
        }
        return served;
    }

    private static void parse(RingBuffer ring, int i) {
        try {
            ring.put(Protocol.line("mg 7f3a9c21e0b4d655 v O" + i + " Pc=read,t=acme,d=480"));
            Command command = CommandParser.next(ring);
            ring.put(command.forward(i));
            CommandParser.next(ring);
            ring.put(Protocol.withValue("VA 16 O" + i + " h1", new byte[16]));
            AnswerParser.next(ring);
        } catch (MalformedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void send(long request, long server, double timeout) {
        sends.add(new Send(request, server));
    }

    @Override
    public void setTimer(double delay, long token) {
        timers.add(token);
    }

    @Override
    public void cancel(long request, int attempt) {
    }

    @Override
    public void refuse(long request, double retryAfter) {
    }

    @Override
    public void fail(long request) {
    }

    @Override
    public void probe(long server) {
    }

    @Override
    public void closeIdle(long server) {
    }

    @Override
    public void watchMembers() {
    }

    @Override
    public void note(String text) {
    }
}
