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
 * Watches discovery by long poll: each call follows the last response at once, and a call that failed or got no
 * response is repeated on a new connection, with exponential back-off. {@link WatchTimes} holds the timeouts. Owns its
 * connections and timers: at most one connection that watches, and one that is to replace it.
 *
 * <p>A change is deemed known 6 s after discovery had it, whether or not it arrived here. The longest sequences after a
 * failed, refused or silent call have to fit into that, in milliseconds. With an agent and a drain grace of one second
 * or more: the pending call is given up after hold and slack, 4000; retry delay 250; a connection that fails, or is
 * established and then silent (300 + 300); retry delay 250; connect 300 and response 300 of the one that succeeds:
 * 5700. With a shared service: the pending call is given up after 3000; retry delay 400; connect 300, call rejected;
 * retry delay 800; connect 300; then the response, which has 1200 left for its turn in the queue. A response that
 * arrives in small pieces fits the same sequence: when its call is overdue, a second connection repeats the call in
 * parallel, and the first complete response is used. After a reload, an agent with an older list is asked again until
 * {@link #CATCH_UP_MS} have passed, then once more for its whole list; its list is deemed known 4 s after the reload.
 */
public final class DiscoveryWatch {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryWatch.class);
    /** Hold time of a call that asks for the current list, in milliseconds. */
    private static final int NO_HOLD_MS = 1;
    /**
     * Longest gap between two reads of a response. The whole response has the time of its call before a parallel call
     * is sent.
     */
    private static final int READ_TIMEOUT_MS = 1000;
    /**
     * Time after an address change during which an agent with an older version is allowed to catch up. What that agent
     * has is deemed known 4 s after the change.
     */
    private static final int CATCH_UP_MS = 3300;

    private final EventLoop loop;
    private final DiscoveryConnector connector;
    private final WatchTimes times;
    private final HostGroup group;
    private final Consumer<HostGroup.Change> onChange;
    private final Runnable onFailure;
    private InetSocketAddress address;
    /** The connection that watches; null if there is none. */
    private Channel channel;

    private Future<?> readTimer;
    /** Fires when a call has no complete response yet and a parallel call is due. */
    private Future<?> responseTimer;
    /**
     * The connection that is being established, or carries a call in parallel to an overdue one, and then replaces the
     * watching one; null if there is none.
     */
    private Channel nextChannel;
    /** Timeout of the overlapping call; null if there is none. */
    private Future<?> overlappingCallTimer;
    /** The list version from which the overlapping call asks. */
    private long overlappingCallGeneration;
    /** Whether the overlapping call was sent after the current waiters for a fresh list were added. */
    private boolean overlappingCallAsksCurrent;
    /** Whether no connection has been established since the address changed. */
    private boolean addressChanged;
    /** Pending while an agent with an older version may still be behind; null before any address change. */
    private ScheduledFuture<?> catchUpTimer;
    /** Whether the next call requests the whole list, because the agent's changes do not follow the list held here. */
    private boolean requestsFullList;

    private Future<?> retryTimer;
    private final RandomGenerator random;
    private final Backoff backoff;
    /** Whether the agent has reported its list as of some moment and has had a call pending for later changes since. */
    private boolean isFresh;
    /** Whether a call has been sent that has no complete response yet. */
    private boolean callPending;
    /** Whether the pending call asks for the current list. */
    private boolean callAsksCurrent;

    private final FreshListWaiters freshListWaiters;
    private final FreshListWaiters firstListWaiters;

    private boolean started;
    private boolean stopped;
    private long calls;
    private long failures;
    /** Failures since the last accepted response. */
    private long consecutiveFailures;

    /**
     * @param times     timeouts and delays
     * @param onChange  called for each response, including those that change nothing
     * @param onFailure called for each failed attempt
     */
    public DiscoveryWatch(
            EventLoop loop,
            InetSocketAddress address,
            WatchTimes times,
            HostGroup group,
            Consumer<HostGroup.Change> onChange,
            Runnable onFailure,
            RandomGenerator random) {
        backoff = new Backoff(times.firstRetryMs(), times.maxRetryMs(), times.minRetryFraction(), random);
        this.times = times;
        this.random = random;
        this.loop = loop;
        connector =
                new DiscoveryConnector(loop, times.connectTimeoutMs(), ReadActivityHandler::new, ResponseHandler::new);
        freshListWaiters = new FreshListWaiters(loop, times.freshTimeoutMs(), this::readNow);
        firstListWaiters = new FreshListWaiters(loop, times.firstListTimeoutMs(), this::readNow);
        this.address = address;
        this.group = group;
        this.onChange = onChange;
        this.onFailure = onFailure;
    }

    /** Starts the watch from the list that the group has. */
    public void start() {
        started = true;
        ChannelFuture connect;
        try {
            connect = connector.connect(address);
        } catch (ChannelException e) {
            scheduleRetry("cannot open a socket: " + e.getMessage());
            return;
        }
        nextChannel = connect.channel();
        connect.addListener(done -> {
            if (!done.isSuccess() && connect.channel() == nextChannel) {
                nextChannel = null;
                scheduleRetry("cannot connect: " + done.cause().getMessage());
            }
        });
    }

    /**
     * Continues at another address. Avoids a gap: the old watch continues until a connection to the new address is
     * established, and the call on that one starts from the version that the old one reached.
     */
    public void moveTo(InetSocketAddress to) {
        if (stopped || to.equals(address)) {
            return;
        }
        address = to;
        if (!started) {
            // The watch has not started yet and will use the new address.
            return;
        }
        isFresh = false;
        addressChanged = true;
        if (catchUpTimer != null) {
            catchUpTimer.cancel(false);
        }
        catchUpTimer = loop.schedule(() -> {}, CATCH_UP_MS, TimeUnit.MILLISECONDS);
        backoff.reset();
        closeNextChannel();
        start();
    }

    public void stop() {
        stopped = true;
        closeNextChannel();
        closeChannel();
        releaseWaiters();
    }

    /**
     * Starts the watch and runs the callback once the current list is known, but no later than
     * {@link WatchTimes#firstListTimeoutMs} from now. A process that starts slowly would otherwise decide by the list
     * in its configuration.
     */
    public void start(Runnable callback) {
        firstListWaiters.add(callback);
        start();
    }

    private void releaseWaiters() {
        freshListWaiters.release();
        firstListWaiters.release();
    }

    /**
     * Processes what the agent has sent by now and runs the callback once the list is known to be fresh. That is at
     * once if the pending call has no response yet, and no later than {@link WatchTimes#freshTimeoutMs} from now.
     */
    public void refresh(Runnable callback) {
        freshListWaiters.add(callback);
        boolean canAnswerAtOnce = isFresh && callPending;
        long before = calls;
        // A response that has arrived by now may be an old one, whatever its call asked for.
        isFresh = false;
        callAsksCurrent = false;
        overlappingCallAsksCurrent = false;
        readNow();
        if (canAnswerAtOnce && calls == before && channel != null && channel.isActive()) {
            isFresh = true;
            freshListWaiters.release();
        }
    }

    /** Reads what has arrived by now without waiting for the selector. */
    private void readNow() {
        if (channel != null && channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
    }

    /**
     * Restarts the read timeout for each piece of a response. A slow response would otherwise be given up and requested
     * again without end.
     */
    private final class ReadActivityHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (ctx.channel() == channel) {
                restartReadTimer(READ_TIMEOUT_MS);
            }
            ctx.fireChannelRead(message);
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (ctx.channel() != nextChannel) {
                return;
            }
            if (channel != null && !addressChanged) {
                sendOverlappingCall();
                return;
            }
            // The new agent may not have reported its list yet. A fresh state from the old agent must not be kept after
            // an address change.
            isFresh &= !addressChanged;
            addressChanged = false;
            switchToNextChannel();
            sendCall();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() == nextChannel) {
                onOverlappingResponse(response);
            } else if (ctx.channel() == channel) {
                onResponse(response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                watchFailed("connection closed");
            } else if (ctx.channel() == nextChannel) {
                onOverlappingFailure("connection closed");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (ctx.channel() == channel) {
                watchFailed(cause.toString());
            } else if (ctx.channel() == nextChannel) {
                onOverlappingFailure(cause.toString());
            }
        }
    }

    private void sendCall() {
        calls++;
        callPending = true;
        callAsksCurrent = !isFresh && times.currentListFirst();
        int holdMs = callAsksCurrent ? NO_HOLD_MS : times.holdMs() - random.nextInt(times.holdSpreadMs());
        writeRequest(channel, holdMs);
        int timeoutMs = callAsksCurrent ? times.listTimeoutMs() : holdMs + times.slackMs();
        restartReadTimer(timeoutMs);
        long call = calls;
        responseTimer = loop.schedule(() -> onCallOverdue(call), timeoutMs, TimeUnit.MILLISECONDS);
    }

    private void writeRequest(Channel to, int holdMs) {
        if (group.generation() < 0 || requestsFullList) {
            DiscoveryConnector.requestList(to, address);
        } else {
            DiscoveryConnector.requestChanges(to, address, group.generation(), holdMs);
        }
    }

    /**
     * Starts a second connection when a call is overdue. An agent that sends a byte now and then would otherwise keep
     * the watch on an old list permanently.
     */
    private void onCallOverdue(long call) {
        readNow();
        if (calls == call && callPending) {
            unlessReconnecting(this::start);
        }
    }

    /** Asks for the current list in parallel to a call that is answered slowly. */
    private void sendOverlappingCall() {
        calls++;
        overlappingCallGeneration = group.generation();
        overlappingCallAsksCurrent = true;
        writeRequest(nextChannel, NO_HOLD_MS);
        overlappingCallTimer = loop.schedule(
                () -> onOverlappingFailure("no complete response within the timeout"),
                times.listTimeoutMs(),
                TimeUnit.MILLISECONDS);
    }

    private void onOverlappingResponse(FullHttpResponse response) {
        if (overlappingCallGeneration != group.generation()) {
            // These changes follow a list that is no longer the one held here.
            onOverlappingFailure("the list changed before the response arrived");
            return;
        }
        switchToNextChannel();
        callAsksCurrent = overlappingCallAsksCurrent;
        onResponse(response);
    }

    private void onOverlappingFailure(String reason) {
        closeNextChannel();
        scheduleRetry(reason);
    }

    /** Makes the new connection the one that watches. */
    private void switchToNextChannel() {
        Channel next = nextChannel;
        nextChannel = null;
        cancelOverlappingCallTimer();
        closeChannel();
        channel = next;
    }

    private void cancelOverlappingCallTimer() {
        if (overlappingCallTimer != null) {
            overlappingCallTimer.cancel(false);
            overlappingCallTimer = null;
        }
    }

    /** Restarts the timer within which data has to arrive on the connection. */
    private void restartReadTimer(int ms) {
        if (readTimer != null) {
            readTimer.cancel(false);
        }
        readTimer = loop.schedule(this::onReadTimeout, ms, TimeUnit.MILLISECONDS);
    }

    /**
     * Handles a read timeout. The agent may have answered in time: a process that was suspended runs its timers before
     * it reads its sockets, and would give the call up with the response unread.
     */
    private void onReadTimeout() {
        Future<?> timer = readTimer;
        readNow();
        if (readTimer == timer) {
            watchFailed("no response within the timeout");
        }
    }

    private void onResponse(FullHttpResponse response) {
        cancelCallTimers();
        callPending = false;
        HostGroup.Change change;
        try {
            if (response.status().code() != 200 || response.decoderResult().isFailure()) {
                throw new IllegalArgumentException("HTTP status " + response.status());
            }
            JsonElement message = JsonParser.parseString(response.content().toString(StandardCharsets.UTF_8));
            if (group.isOutdated(message, mayBeBehind())) {
                requestsFullList = !mayBeBehind();
                throw new IllegalArgumentException("received an outdated server list");
            }
            change = group.applyFresh(message);
        } catch (IllegalArgumentException | JsonParseException e) {
            // The last list stays in force: a malformed message must not remove servers.
            watchFailed(e.getMessage());
            return;
        }
        backoff.reset();
        if (consecutiveFailures > 0) {
            LOG.info("discovery at {} answers again after {} failures", address, consecutiveFailures);
            consecutiveFailures = 0;
        }
        requestsFullList = false;
        isFresh |= callAsksCurrent || !times.currentListFirst();
        if (!addressChanged) {
            // A parallel call is no longer needed.
            closeNextChannel();
        }
        try {
            onChange.accept(change);
        } finally {
            // A response without a length is complete when its connection has closed, whatever its header says about
            // keep-alive.
            continueWatch(HttpUtil.isKeepAlive(response) && channel != null && channel.isActive());
        }
        if (isFresh) {
            releaseWaiters();
        }
    }

    private void continueWatch(boolean keepsConnection) {
        if (keepsConnection && channel != null) {
            sendCall();
        } else {
            closeChannel();
            unlessReconnecting(this::start);
        }
    }

    /**
     * Returns the milliseconds until the next attempt. An agent that may be behind after an address change is asked as
     * soon as the time to catch up is over.
     */
    private long retryDelayMs() {
        long pause = backoff.next();
        if (!mayBeBehind()) {
            return pause;
        }
        long left = catchUpTimer.getDelay(TimeUnit.MILLISECONDS) + 1;
        return Math.min(pause, Math.max(1, left));
    }

    private boolean mayBeBehind() {
        return catchUpTimer != null && !catchUpTimer.isDone();
    }

    /** Gives up the watching connection and schedules a retry. */
    private void watchFailed(String reason) {
        isFresh = false;
        closeChannel();
        unlessReconnecting(() -> scheduleRetry(reason));
    }

    /** Runs a step that opens a new connection, unless one is pending already. */
    private void unlessReconnecting(Runnable connectStep) {
        if (nextChannel == null && retryTimer == null) {
            connectStep.run();
        }
    }

    /** Schedules the next connection with exponential back-off, so that an unavailable agent costs little. */
    private void scheduleRetry(String reason) {
        if (stopped) {
            return;
        }
        failures++;
        if (consecutiveFailures++ == 0) {
            LOG.warn(
                    "discovery at {} is unavailable: {}; the last server list stays in force, retrying",
                    address,
                    reason);
        } else {
            LOG.debug("discovery call failed: {}", reason);
        }
        retryTimer = loop.schedule(
                () -> {
                    retryTimer = null;
                    start();
                },
                retryDelayMs(),
                TimeUnit.MILLISECONDS);
        onFailure.run();
    }

    /** Closes the watching connection and cancels its timers. No other method does this. */
    private void closeChannel() {
        cancelCallTimers();
        callPending = false;
        Channel old = channel;
        channel = null;
        if (old != null) {
            old.close();
        }
    }

    private void cancelCallTimers() {
        if (readTimer != null) {
            readTimer.cancel(false);
        }
        if (responseTimer != null) {
            responseTimer.cancel(false);
        }
    }

    /** Closes the connection that is not watching yet and cancels a pending retry. No other method does this. */
    private void closeNextChannel() {
        if (retryTimer != null) {
            retryTimer.cancel(false);
            retryTimer = null;
        }
        cancelOverlappingCallTimer();
        Channel old = nextChannel;
        nextChannel = null;
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
