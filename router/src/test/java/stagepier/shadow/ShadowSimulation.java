package stagepier.shadow;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import stagepier.Api;
import stagepier.RoutingPolicy;
import stagepier.exchange.Clock;
import stagepier.exchange.Exchange;
import stagepier.exchange.Ids;
import stagepier.exchange.ModuleHost;
import stagepier.exchange.ResponseInfo;
import stagepier.exchange.ServerTransport;
import stagepier.memcache.CommandParser;
import stagepier.memcache.MalformedException;
import stagepier.memcache.RingBuffer;
import stagepier.overload.LoopDelay;
import stagepier.settings.SettingsParser;

/**
 * One router with the real routing module in virtual time and scripted cache servers. What a server does with a request
 * depends only on the key, the server and the attempt, so that a run with copies can be compared request by request
 * with a run without.
 */
final class ShadowSimulation implements ServerTransport {
    static final String SETTINGS = """
            {"Siblings":4,"Classes":[{"Name":"read","Deadline":1,"GoalTime":0.5,"Repeat":"idempotent"},
            {"Name":"put","Deadline":1,"Repeat":"deduplicated","DedupWindow":5}],"FamilyInfo":{"Mode":"through"},
            "Areas":["a","b"],"Flavors":["m1"],"Obligations":{"Cold":2,"ColdFrom":0.3,"FallMultiple":4},
            "Limits":{"MaxAttempts":3,"MayDuplicate":true,"Cancel":true,"MaxRetryAfter":1}}""";
    static final int SERVERS = 8;
    private static final double START = 1_000_000;
    private static final double STEP = 0.001;

    /** How the servers answer copies. */
    enum Candidate {
        GOOD,
        SLOW,
        WRONG,
        FAILS,
        SILENT,
        BREAKS,
        RACES
    }

    final List<String> log = new ArrayList<>();
    final Map<String, Long> status = new TreeMap<>();
    final List<Double> copiesAt = new ArrayList<>();
    final List<List<Object>> history = new ArrayList<>();
    final List<String> copyLines = new ArrayList<>();
    final ServerStates servers = new ServerStates(2, this::eligibility);
    final List<Counts.Snapshot> published = new ArrayList<>();
    final ModuleHost host;
    ShadowCopies copies;
    boolean pressed;
    boolean draining;
    ShadowPlan plan;
    Api.PromotedRing promoted;
    private final EmbeddedChannel main = new EmbeddedChannel();
    private final EventLoop loop = main.eventLoop();
    private final Candidate candidate;
    private final Map<String, Integer> versions = new HashMap<>();
    private final SettingsParser.Parsed settings = SettingsParser.parse(SETTINGS);
    private double now = START;
    private final Clock clock = new Clock() {
        @Override
        public double now() {
            return now;
        }
    };

    ShadowSimulation(long seed, Candidate candidate, CandidateMap map) {
        this.candidate = candidate;
        main.freezeTime();
        host = new ModuleHost(loop, clock, new LoopDelay(), settings);
        host.connect(new RoutingPolicy(settings.settings(), seed, host), this);
        List<Api.Member> members = new ArrayList<>();
        for (int i = 1; i <= SERVERS; i++) {
            Api.Member m = new Api.Member(i, i % 2, 0, 0, Api.MemberState.READY, 1, 0);
            members.add(m);
            servers.listed(m, new InetSocketAddress("127.0.0.1", 20_000 + i));
        }
        host.members(true, members);
        if (map != null) {
            plan = new ShadowPlan(
                    map,
                    new Slice(map.salt()),
                    ShardRing.of(map),
                    ShardRing.of(servers.members(), false),
                    1,
                    Long.MAX_VALUE / 2,
                    true);
            copies = new ShadowCopies(new ShadowCopies.Parts(
                    loop,
                    clock,
                    this::connect,
                    settings,
                    32,
                    "shadow",
                    new RouterState() {
                        @Override
                        public boolean isPressed() {
                            return pressed;
                        }

                        @Override
                        public boolean isDraining() {
                            return draining;
                        }
                    },
                    servers,
                    () -> 0,
                    () -> plan,
                    published::add,
                    () -> promoted,
                    host::promoted,
                    (event, values) -> {
                        if (event.equals("shadow.copy")) {
                            copiesAt.add(now);
                        }
                        List<Object> line = new ArrayList<>(List.of(event));
                        line.addAll(List.of(values));
                        history.add(line);
                    }));
            copies.start();
            host.connectShadow(copies);
        }
    }

    private Eligibility eligibility(double at, long server) {
        return host.avoidsOptionalLoad(at, server) ? Eligibility.CROWDED : Eligibility.FIT;
    }

    double seconds() {
        return now - START;
    }

    Counts.Snapshot last() {
        return published.get(published.size() - 1);
    }

    long counter(String name) {
        return published.isEmpty() ? 0 : last().counter(name);
    }

    /** Sends random requests, in which a few keys are requested often. */
    void sendRequests(long seed, int requests, double perSecond) {
        Random random = new Random(seed);
        for (int i = 0; i < requests; i++) {
            run(-Math.log(1 - random.nextDouble()) / perSecond);
            String key = String.format("%016x", 1 + (long) (300 * random.nextDouble() * random.nextDouble()));
            boolean write = random.nextInt(20) == 0;
            request(
                    write
                            ? "ms " + key + " 1 Or" + i + " Pc=put,d=900,k=" + i + "\r\nx\r\n"
                            : "mg " + key + " v Or" + i + " Pc=read,d=900\r\n");
        }
        run(3);
    }

    void request(String line) {
        RingBuffer ring = new RingBuffer();
        ring.put(line.getBytes(StandardCharsets.ISO_8859_1));
        try {
            host.take(
                    (x, reply) -> log.add(time() + " answer " + x.command().id() + " " + reply.kind() + " "
                            + new String(reply.body(), StandardCharsets.ISO_8859_1)),
                    CommandParser.next(ring),
                    Double.POSITIVE_INFINITY);
        } catch (MalformedException e) {
            throw new AssertionError(e);
        }
    }

    private String time() {
        return String.format("%.3f", seconds());
    }

    void run(double seconds) {
        double until = now + seconds;
        while (now < until) {
            double step = Math.min(STEP, until - now);
            now += step;
            main.advanceTimeBy((long) (step * 1e9), TimeUnit.NANOSECONDS);
            main.runPendingTasks();
            main.runScheduledPendingTasks();
            main.checkException();
        }
    }

    // ---- cache servers for real requests ------------------------------------------------------------------
    /** The outcome is drawn from the request alone. */
    private static SplittableRandom draw(String id, long server, int attempt) {
        return new SplittableRandom(id.hashCode() * 1_000_003L + server * 31 + attempt);
    }

    @Override
    public Transmission send(Exchange x, int attempt, long server, double timeout) {
        double sentAt = now;
        String id = x.command().id();
        log.add(time() + " send " + id + " " + attempt + " " + server);
        SplittableRandom draw = draw(id, server, attempt);
        int percentile = draw.nextInt(100);
        Api.Outcome outcome = percentile < 2
                ? Api.Outcome.ERROR
                : percentile < 4 ? Api.Outcome.FULL : percentile < 5 ? Api.Outcome.TIMEOUT : Api.Outcome.OK;
        double durationSeconds =
                outcome == Api.Outcome.TIMEOUT ? timeout : Math.min(timeout, 0.002 + 0.01 * draw.nextDouble());
        boolean[] ended = new boolean[1];
        if (x.command().isWrite()) {
            versions.merge(x.command().key(), 1, Integer::sum);
        }
        loop.schedule(
                () -> end(x, attempt, server, outcome, sentAt, ended),
                (long) (durationSeconds * 1e6),
                TimeUnit.MICROSECONDS);
        return () -> end(x, attempt, server, Api.Outcome.CANCELLED, sentAt, ended);
    }

    private void end(Exchange x, int attempt, long server, Api.Outcome outcome, double sentAt, boolean[] ended) {
        if (!ended[0]) {
            ended[0] = true;
            log.add(time() + " end " + x.command().id() + " " + attempt + " " + server + " " + outcome);
            String body = value(x.command().key());
            host.ended(
                    x,
                    attempt,
                    server,
                    outcome,
                    sentAt,
                    ResponseInfo.of(Api.Lookup.HIT),
                    body.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private String value(String key) {
        return key + "." + versions.getOrDefault(key, 0);
    }

    @Override
    public void probe(long server) {}

    @Override
    public void closeIdle(long server) {}

    // ---- connections for copies ---------------------------------------------------------------------------
    private ChannelFuture connect(ChannelHandler setUp, InetSocketAddress address) {
        long server = address.getPort() - 20_000;
        EmbeddedChannel channel = new EmbeddedChannel(setUp);
        pollOutput(channel, server, 0, "");
        return channel.newSucceededFuture();
    }

    /** Polls for output, which may be written in pieces. */
    private void pollOutput(EmbeddedChannel channel, long server, int answered, String partial) {
        if (!channel.isOpen()) {
            return;
        }
        StringBuilder all = new StringBuilder(partial);
        for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            all.append(out.toString(StandardCharsets.ISO_8859_1));
        }
        boolean whole = all.indexOf("\r\n") >= 0;
        if (whole) {
            answer(channel, server, all.toString(), answered);
        }
        loop.schedule(
                () -> pollOutput(channel, server, whole ? answered + 1 : answered, whole ? "" : all.toString()),
                100,
                TimeUnit.MICROSECONDS);
    }

    private void answer(EmbeddedChannel channel, long server, String line, int answered) {
        copyLines.add(line);
        String[] words = line.trim().split(" ");
        String key = words[1];
        String id = words[3].substring(1);
        boolean fromCandidate = plan.ring().owner(Ids.ofKey(key)) == server;
        double durationSeconds = (candidate == Candidate.SLOW && fromCandidate ? 0.03 : 0.002)
                + 0.01 * draw(id, server, 0).nextDouble();
        String value = value(key);
        String returned = switch (candidate) {
            case WRONG -> fromCandidate ? "wrong" : value;
            case RACES -> answered % 5 == 4 ? value + "!" : value;
            default -> value;
        };
        String text = candidate == Candidate.FAILS
                ? "SERVER_ERROR failed\r\n"
                : "VA " + returned.length() + " O" + id + " h1\r\n" + returned + "\r\n";
        if (candidate == Candidate.SILENT) {
            return;
        }
        loop.schedule(
                () -> {
                    if (!channel.isOpen()) {
                        return;
                    }
                    if (candidate == Candidate.BREAKS && answered % 3 == 2) {
                        channel.close();
                    } else {
                        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
                    }
                },
                (long) (durationSeconds * 1e6),
                TimeUnit.MICROSECONDS);
    }
}
