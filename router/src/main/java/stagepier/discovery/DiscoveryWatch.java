package stagepier.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a watch on discovery: the next call follows the last answer at once, and a call that failed or had no
 * answer is made again on a new connection, each time after a longer wait. How long it waits for what is told by
 * {@link WatchTimes}. Owns its connections and timers: at most one connection that watches, and one that is to take over
 * from it.
 *
 * <p>The worst chain after a failed, refused or silent call, against the 6 s after which a change counts as told whether or
 * not it arrived, in milliseconds. At an agent, with a drain grace of a second or more: the open call is given up after hold
 * and slack, 4000; pause 250; a connection that does not come up or, once up, is silent (300 + 300); pause 250; connection
 * 300 and answer 300 of the one that counts: 5700. At a shared service: the open call is given up after 3000; pause 400;
 * connection 300, turned away; pause 800; connection 300; then the answer, with 1200 left for its turn. An answer that comes
 * bit by bit is in the same chain: when its call is due a second connection asks anew beside it, and whichever is whole
 * first counts. After a reload: an agent with an older list is asked again until {@link #BEHIND_MS} are over, and then once
 * more for its whole list, of the 4 s after which what it has counts.
 */
public final class DiscoveryWatch {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryWatch.class);
    /** The wait of a call that asks what there is now. */
    private static final int NOW_MS = 1;
    /** Between two pieces of an answer; the whole of it has the time of its call before another is asked beside it. */
    private static final int PIECES_WITHIN_MS = 1000;
    /** So long after a move an agent with an older version is behind and may catch up; what it has counts 4 s after. */
    private static final int BEHIND_MS = 3300;

    private final EventLoop loop;
    private final DiscoveryConnector connector;
    private final WatchTimes times;
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
    private ScheduledFuture<?> behindTimer;
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

    private final FreshListWaiters waitersForFresh;
    private final FreshListWaiters waitersForFirst;

    private boolean begun;
    private boolean stopped;
    private long calls;
    private long failures;
    /** Since the last answer that was taken. */
    private long failuresInARow;

    /**
     * @param times   how long it waits for what
     * @param changed is told of each answer, and so of those as well that change nothing
     * @param failed  is told of each try that failed
     */
    public DiscoveryWatch(
            EventLoop loop,
            InetSocketAddress address,
            WatchTimes times,
            HostGroup group,
            Consumer<HostGroup.Change> changed,
            Runnable failed,
            RandomGenerator random) {
        backoff = new Backoff(times.retryFirst(), times.retryMost(), times.retryLeast(), random);
        this.times = times;
        this.random = random;
        this.loop = loop;
        connector = new DiscoveryConnector(loop, times.connectWithin(), Pieces::new, Answers::new);
        waitersForFresh = new FreshListWaiters(loop, times.freshWithin(), this::readNow);
        waitersForFirst = new FreshListWaiters(loop, times.firstWithin(), this::readNow);
        this.address = address;
        this.group = group;
        this.changed = changed;
        this.failed = failed;
    }

    /** Begins the watch from the list that the group has. */
    public void start() {
        begun = true;
        ChannelFuture connect;
        try {
            connect = connector.connect(address);
        } catch (ChannelException e) {
            again("no socket: " + e.getMessage());
            return;
        }
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
        if (!begun) {
            // It begins there.
            return;
        }
        isFresh = false;
        moved = true;
        if (behindTimer != null) {
            behindTimer.cancel(false);
        }
        behindTimer = loop.schedule(() -> {}, BEHIND_MS, TimeUnit.MILLISECONDS);
        backoff.reset();
        dropConnecting();
        start();
    }

    public void stop() {
        stopped = true;
        dropConnecting();
        dropWatch();
        releaseWaiters();
    }

    /**
     * Begins the watch, and runs that once it has the list as it is now, but no later than {@link WatchTimes#firstWithin} from now.
     * Guards against a process that is slow as it begins, and would decide by the list of its configuration.
     */
    public void start(Runnable then) {
        waitersForFirst.add(then);
        start();
    }

    private void releaseWaiters() {
        waitersForFresh.release();
        waitersForFirst.release();
    }

    /**
     * Takes what the agent has told by now, and runs that once nothing is left to be told, which is at once where the open
     * call has no answer yet; but no later than {@link WatchTimes#freshWithin} from now.
     */
    public void refresh(Runnable then) {
        waitersForFresh.add(then);
        boolean waits = isFresh && isOpen;
        long before = calls;
        // An answer that is there by now may be an old one, whatever was asked for.
        isFresh = false;
        asksNow = false;
        besideAsksNow = false;
        readNow();
        if (waits && calls == before && channel != null && channel.isActive()) {
            isFresh = true;
            waitersForFresh.release();
        }
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
            // Guards against a wait on a new agent that has not yet said what there is: the old one may have, after the
            // move.
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
        asksNow = !isFresh && times.asksFirst();
        int hold = asksNow ? NOW_MS : times.hold() - random.nextInt(times.holdSpread());
        write(channel, hold);
        int most = asksNow ? times.listWithin() : hold + times.slack();
        within(most);
        long call = calls;
        wholeTimer = loop.schedule(() -> late(call), most, TimeUnit.MILLISECONDS);
    }

    private void write(Channel to, int hold) {
        if (group.generation() < 0 || asksWhole) {
            DiscoveryConnector.requestList(to, address);
        } else {
            DiscoveryConnector.requestChanges(to, address, group.generation(), hold);
        }
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
        besideTimer =
                loop.schedule(() -> failedBeside("no whole answer in time"), times.listWithin(), TimeUnit.MILLISECONDS);
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
        HostGroup.Change change;
        try {
            if (response.status().code() != 200 || response.decoderResult().isFailure()) {
                throw new IllegalArgumentException("status " + response.status());
            }
            JsonElement message = JsonParser.parseString(response.content().toString(StandardCharsets.UTF_8));
            if (group.goesBack(message, mayBeBehind())) {
                asksWhole = !mayBeBehind();
                throw new IllegalArgumentException("its version goes back");
            }
            change = group.applyFresh(message);
        } catch (IllegalArgumentException | JsonParseException e) {
            // The last list stays in force: a bad message must not take servers away.
            failed(e.getMessage());
            return;
        }
        backoff.reset();
        if (failuresInARow > 0) {
            LOG.info("discovery at {} is heard again after {} failures", address, failuresInARow);
            failuresInARow = 0;
        }
        asksWhole = false;
        isFresh |= asksNow || !times.asksFirst();
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
            releaseWaiters();
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

    /** Milliseconds until the next try; an agent that may be behind after a move is asked once that time is over. */
    private long pause() {
        long pause = backoff.next();
        if (!mayBeBehind()) {
            return pause;
        }
        long left = behindTimer.getDelay(TimeUnit.MILLISECONDS) + 1;
        return Math.min(pause, Math.max(1, left));
    }

    private boolean mayBeBehind() {
        return behindTimer != null && !behindTimer.isDone();
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
        if (failuresInARow++ == 0) {
            LOG.warn("discovery at {} is not heard: {}", address, why);
        } else {
            LOG.debug("discovery: {}", why);
        }
        retryTimer = loop.schedule(
                () -> {
                    retryTimer = null;
                    start();
                },
                pause(),
                TimeUnit.MILLISECONDS);
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
