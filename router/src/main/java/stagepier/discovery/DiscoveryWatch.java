package stagepier.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a watch on discovery: the next call follows the last answer at once, and a call that failed or had no
 * answer is made again on a new connection, each time after a longer wait. The first call of a connection asks what there
 * is now, so that a silent agent is told from one that has nothing new. Owns its connections and timers: at most
 * one connection that watches, and one that is to take over from it.
 *
 * <p>The waits follow from the clock by which a change counts as told, after which sends may go on for 1 s. What a silent
 * watch misses counts 6 s after it fell silent: {@link #HOLD_MS} + {@link #SLACK_MS} is 4 s, which leaves time for one more
 * call that fails. What an agent gets at the end of an outage counts at once: {@link #NOW_WITHIN_MS} +
 * {@link #RETRY_MOST_MS} is how long nobody may be there to hear it.
 *
 * <p>The worst chain after a failed, refused or silent call, against those 6 s: the open call is given up after
 * {@link #HOLD_MS} + {@link #SLACK_MS} = 4000; back-off 250; a connection that does not come up or, once up, is silent
 * (300 + 300); back-off 250; connection 300 and answer 300 of the one that counts: 5700. An answer that comes bit by bit
 * is in the same chain: when its call is due a second connection asks anew beside it, and whichever is whole first counts.
 */
public final class DiscoveryWatch {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryWatch.class);
    private static final String PATH = "/discovery/hosts";
    /** Longest wait that is asked for; a connection that fell silent costs no more than this and the slack. */
    private static final int HOLD_MS = 3000;
    /** By chance it is up to so much less: many routers that were answered at one moment do not go on in step. */
    private static final int HOLD_SPREAD_MS = 500;
    private static final int SLACK_MS = 1000;
    /** The wait of a call that asks what there is now. */
    private static final int NOW_MS = 1;
    /** The agent is on this machine and answers such a call at once; so does its machine a connection. */
    private static final int NOW_WITHIN_MS = 300;
    /** Between two pieces of an answer; the whole of it has the time of its call before another is asked beside it. */
    private static final int PIECES_WITHIN_MS = 1000;
    private static final int RETRY_FIRST_MS = 100;
    private static final int RETRY_MOST_MS = 250;
    /** So long after a move an agent with an older version is behind and may catch up; what it has counts 4 s after. */
    private static final int BEHIND_MS = 3300;
    /** Whoever waits for the list to be fresh waits no longer than this for a silent agent. */
    private static final int FRESH_WITHIN_MS = 200;
    private static final int LARGEST_LIST = 1 << 20;

    private final EventLoop loop;
    private final HostGroup group;
    private final Consumer<HostGroup.Change> changed;
    private final Runnable failed;
    private InetSocketAddress address;
    /** The one that watches; null while there is none. */
    private Channel channel;
    private Future<?> callTimer;
    /** When it is due another asks beside a call that is answered bit by bit. */
    private Future<?> wholeTimer;
    /** The one that is coming up, or asks beside a call that is late, and then takes over; null while none is. */
    private Channel connecting;
    /** Of the call beside; null while there is none. */
    private Future<?> besideTimer;
    /** The version from which the call beside asks. */
    private long besideFrom;
    /** It was asked after whoever waits for the list to be fresh began to. */
    private boolean besideAsksNow;
    /** No connection to the address has been up since it changed. */
    private boolean moved;
    /** Pending while an agent with an older version may be behind; null before any move. */
    private Future<?> behindTimer;
    /** The agent's changes do not follow on the list here: the next call asks for the whole of it. */
    private boolean asksWhole;
    private Future<?> retryTimer;
    private final RandomGenerator random;
    private final Backoff backoff;
    /** The agent has said what there was at a moment, and has had a call open for what came after. */
    private boolean isFresh;
    /** A call has been made that has no whole answer yet. */
    private boolean isOpen;
    /** That call is to say what there is now. */
    private boolean asksNow;
    /** What is to be done once the list is fresh. */
    private final List<Runnable> onFresh = new ArrayList<>();
    /** Null where nothing is to be done. */
    private Future<?> freshTimer;
    private boolean stopped;
    private long calls;
    private long failures;

    /**
     * @param changed is told of each answer, and so of those as well that change nothing
     * @param failed  is told of each try that failed
     */
    public DiscoveryWatch(EventLoop loop, InetSocketAddress address, HostGroup group,
            Consumer<HostGroup.Change> changed, Runnable failed, RandomGenerator random) {
        backoff = new Backoff(RETRY_FIRST_MS, RETRY_MOST_MS, random);
        this.random = random;
        this.loop = loop;
        this.address = address;
        this.group = group;
        this.changed = changed;
        this.failed = failed;
    }

    /** Begins the watch from the list that the group has. */
    public void start() {
        Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, NOW_WITHIN_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel own) {
                        own.pipeline().addLast(new Pieces(), new HttpClientCodec(), new HttpObjectAggregator(LARGEST_LIST),
                                new Answers());
                    }
                });
        ChannelFuture connect = bootstrap.connect(address);
        connecting = connect.channel();
        connect.addListener(done -> {
            if (!done.isSuccess() && connect.channel() == connecting) {
                connecting = null;
                again("no connection: " + done.cause().getMessage());
            }
        });
    }

    /**
     * Goes on at another address. Guards against a gap: the old watch goes on until a connection to the new address
     * is up, and the call on that one begins where the old one ended.
     */
    public void moveTo(InetSocketAddress to) {
        if (stopped || to.equals(address)) {
            return;
        }
        address = to;
        isFresh = false;
        moved = true;
        if (behindTimer != null) {
            behindTimer.cancel(false);
        }
        behindTimer = loop.schedule(() -> { }, BEHIND_MS, TimeUnit.MILLISECONDS);
        backoff.reset();
        dropConnecting();
        start();
    }

    public void stop() {
        stopped = true;
        dropConnecting();
        dropWatch();
        fresh();
    }

    /**
     * Takes what the agent has told by now, and runs that once nothing is left to be told, which is at once where the open
     * call has no answer yet; but no later than {@link #FRESH_WITHIN_MS} from now.
     */
    public void refresh(Runnable then) {
        onFresh.add(then);
        if (freshTimer == null) {
            freshTimer = loop.schedule(this::fresh, FRESH_WITHIN_MS, TimeUnit.MILLISECONDS);
        }
        boolean waits = isFresh && isOpen;
        long before = calls;
        // An answer that is there by now may be an old one, whatever was asked for.
        isFresh = false;
        asksNow = false;
        besideAsksNow = false;
        readNow();
        if (waits && calls == before && channel != null && channel.isActive()) {
            isFresh = true;
            fresh();
        }
    }

    private void fresh() {
        if (freshTimer != null) {
            freshTimer.cancel(false);
            freshTimer = null;
        }
        List<Runnable> due = List.copyOf(onFresh);
        onFresh.clear();
        due.forEach(Runnable::run);
    }

    /** Reads what has come by this moment, without waiting to be told of it. */
    private void readNow() {
        if (channel != null && channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
    }

    /** An answer that comes in pieces is not silent. Guards against one that is given up and asked for over and over. */
    private final class Pieces extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (ctx.channel() == channel) {
                within(PIECES_WITHIN_MS);
            }
            ctx.fireChannelRead(message);
        }
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (ctx.channel() != connecting) {
                return;
            }
            if (channel != null && !moved) {
                askBeside();
                return;
            }
            // Guards against a wait on a new agent that has not yet said what there is: the old one may have, after the move.
            isFresh &= !moved;
            moved = false;
            takeOver();
            call();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() == connecting) {
                answeredBeside(response);
            } else if (ctx.channel() == channel) {
                answered(response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                failed("the connection ended");
            } else if (ctx.channel() == connecting) {
                failedBeside("the connection ended");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (ctx.channel() == channel) {
                failed(cause.toString());
            } else if (ctx.channel() == connecting) {
                failedBeside(cause.toString());
            }
        }
    }

    private void call() {
        calls++;
        isOpen = true;
        asksNow = !isFresh;
        int hold = asksNow ? NOW_MS : HOLD_MS - random.nextInt(HOLD_SPREAD_MS);
        int most = asksNow ? NOW_WITHIN_MS : hold + SLACK_MS;
        write(channel, hold);
        within(most);
        long call = calls;
        wholeTimer = loop.schedule(() -> late(call), most, TimeUnit.MILLISECONDS);
    }

    private void write(Channel to, int hold) {
        String from = group.generation() < 0 || asksWhole ? "" : "?from=" + group.generation() + "&hold_ms=" + hold;
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, PATH + from);
        request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(address));
        to.writeAndFlush(request);
    }

    /** Guards against an agent that answers a byte now and then and so holds the watch on an old list for good. */
    private void late(long call) {
        readNow();
        if (calls == call && isOpen) {
            goOn(this::start);
        }
    }

    /** Asks what there is now beside a call that is being answered slowly. */
    private void askBeside() {
        calls++;
        besideFrom = group.generation();
        besideAsksNow = true;
        write(connecting, NOW_MS);
        besideTimer = loop.schedule(() -> failedBeside("no whole answer in time"), NOW_WITHIN_MS, TimeUnit.MILLISECONDS);
    }

    private void answeredBeside(FullHttpResponse response) {
        if (besideFrom != group.generation()) {
            // Guards against changes that follow on a list which is no longer the one here.
            failedBeside("overtaken");
            return;
        }
        takeOver();
        asksNow = besideAsksNow;
        answered(response);
    }

    private void failedBeside(String why) {
        dropConnecting();
        again(why);
    }

    /** The connection that came up is the one that watches. */
    private void takeOver() {
        Channel next = connecting;
        connecting = null;
        cancelBeside();
        dropWatch();
        channel = next;
    }

    private void cancelBeside() {
        if (besideTimer != null) {
            besideTimer.cancel(false);
            besideTimer = null;
        }
    }

    /** Something has to come on the connection within that time. */
    private void within(int ms) {
        if (callTimer != null) {
            callTimer.cancel(false);
        }
        callTimer = loop.schedule(this::due, ms, TimeUnit.MILLISECONDS);
    }

    /**
     * The agent may have answered in time. Guards against a process that stood still: the first thing that it does is to
     * look at its timers, and a call would be given up with its answer unread.
     */
    private void due() {
        Future<?> timer = callTimer;
        readNow();
        if (callTimer == timer) {
            failed("no answer in time");
        }
    }

    private void answered(FullHttpResponse response) {
        cancelCallTimers();
        isOpen = false;
        boolean mayBeBehind = behindTimer != null && !behindTimer.isDone();
        HostGroup.Change change;
        try {
            if (response.status().code() != 200 || response.decoderResult().isFailure()) {
                throw new IllegalArgumentException("status " + response.status());
            }
            JsonElement message = JsonParser.parseString(response.content().toString(StandardCharsets.UTF_8));
            if (group.goesBack(message, mayBeBehind)) {
                asksWhole = !mayBeBehind;
                throw new IllegalArgumentException("its version goes back");
            }
            change = group.apply(message);
        } catch (IllegalArgumentException | JsonParseException e) {
            // The last list stays in force: a bad message must not take servers away.
            failed(e.getMessage());
            return;
        }
        backoff.reset();
        asksWhole = false;
        isFresh |= asksNow;
        if (!moved) {
            // Whoever asks beside is of no use any more.
            dropConnecting();
        }
        try {
            changed.accept(change);
        } finally {
            // One without a length is whole when its connection has ended, whatever its head says of that.
            next(HttpUtil.isKeepAlive(response) && channel != null && channel.isActive());
        }
        if (isFresh) {
            fresh();
        }
    }

    private void next(boolean onThisConnection) {
        if (onThisConnection && channel != null) {
            call();
        } else {
            dropWatch();
            goOn(this::start);
        }
    }

    /** The watch broke. */
    private void failed(String why) {
        isFresh = false;
        dropWatch();
        goOn(() -> again(why));
    }

    /** Does what brings up a new connection, unless one is on its way already. */
    private void goOn(Runnable how) {
        if (connecting == null && retryTimer == null) {
            how.run();
        }
    }

    /** The next connection comes after a wait that grows, so that a dead agent costs nothing. */
    private void again(String why) {
        if (stopped) {
            return;
        }
        failures++;
        LOG.debug("discovery: {}", why);
        retryTimer = loop.schedule(() -> {
            retryTimer = null;
            start();
        }, backoff.next(), TimeUnit.MILLISECONDS);
        failed.run();
    }

    /** The one place where the connection that watches and its timer are given back. */
    private void dropWatch() {
        cancelCallTimers();
        isOpen = false;
        Channel old = channel;
        channel = null;
        if (old != null) {
            old.close();
        }
    }

    private void cancelCallTimers() {
        if (callTimer != null) {
            callTimer.cancel(false);
        }
        if (wholeTimer != null) {
            wholeTimer.cancel(false);
        }
    }

    /** The one place where a connection that is not up yet, and the wait for the next one, are given back. */
    private void dropConnecting() {
        if (retryTimer != null) {
            retryTimer.cancel(false);
            retryTimer = null;
        }
        cancelBeside();
        Channel old = connecting;
        connecting = null;
        if (old != null) {
            old.close();
        }
    }

    public void count(ObjLongConsumer<String> to) {
        to.accept("discovery_calls", calls);
        to.accept("discovery_failures", failures);
        to.accept("discovery_generation", group.generation());
    }
}
