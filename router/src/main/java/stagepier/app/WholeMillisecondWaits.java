package stagepier.app;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.SelectStrategyFactory;
import io.netty.channel.nio.NioIoHandler;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.TimeUnit;

/**
 * An I/O handler that waits for the next timer in whole milliseconds, rounded up. The wrapped handler rounds to the
 * nearest millisecond instead: once a timer is due within half a millisecond it does not wait at all, and the event
 * loop polls the selector until then. With this handler a timer runs up to a millisecond late, and no processor time is
 * spent on polling.
 */
final class WholeMillisecondWaits implements IoHandler {
    private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandler wrapped;

    private WholeMillisecondWaits(IoHandler wrapped) {
        this.wrapped = wrapped;
    }

    /** Returns a factory of socket handlers that poll for input by the given strategy. */
    static IoHandlerFactory socketHandlers(SelectStrategyFactory strategy) {
        IoHandlerFactory sockets = NioIoHandler.newFactory(SelectorProvider.provider(), strategy);
        return executor -> new WholeMillisecondWaits(sockets.newHandler(executor));
    }

    /** Rounds nanoseconds up to whole milliseconds; values of 0 and below are returned unchanged. */
    static long roundUp(long nanos) {
        if (nanos <= 0 || nanos > Long.MAX_VALUE - MILLISECOND) {
            return nanos;
        }
        return (nanos + MILLISECOND - 1) / MILLISECOND * MILLISECOND;
    }

    @Override
    public int run(IoHandlerContext context) {
        return wrapped.run(new RoundedContext(context));
    }

    @Override
    public void initialize() {
        wrapped.initialize();
    }

    @Override
    public void prepareToDestroy() {
        wrapped.prepareToDestroy();
    }

    @Override
    public void destroy() {
        wrapped.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return wrapped.register(handle);
    }

    @Override
    public void wakeup() {
        wrapped.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return wrapped.isCompatible(handleType);
    }

    /** The context of one run, with the delay until the next timer rounded up. */
    private record RoundedContext(IoHandlerContext context) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return roundUp(context.delayNanos(currentTimeNanos));
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            context.reportActiveIoTime(activeNanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return context.shouldReportActiveIoTime();
        }
    }
}
