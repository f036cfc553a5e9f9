package stagepier.lab.scale.discovery;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.DoubleAccumulator;
import java.util.concurrent.atomic.LongAdder;
import stagepier.lab.model.Randoms;
import stagepier.lab.standin.LabClock;
import stagepier.lab.standin.LoopScheduler;

/** The hollow watchers of a fleet, spread over event loops of one process. */
final class WatcherGroup {
    /** Watchers that have to come to a version, and when the last one that did had it. */
    private static final class Target {
        private final long version;
        private final CountDownLatch missing;
        private final DoubleAccumulator lastAt = new DoubleAccumulator(Math::max, Double.NEGATIVE_INFINITY);

        private Target(long version, int watchers) {
            this.version = version;
            missing = new CountDownLatch(watchers);
        }
    }

    /**
     * How a wait for a version ended.
     *
     * @param missing watchers that did not have it by the end of the wait
     * @param lastAt  second at which the last one that has it had it
     */
    record Reached(long missing, double lastAt) {}

    private final LabClock clock;
    private final List<Member> members = new ArrayList<>();
    private final LongAdder failures = new LongAdder();
    private final LongAdder slow = new LongAdder();
    private final LongAdder calls = new LongAdder();
    private volatile Target target;

    WatcherGroup(List<EventLoop> loops, LabClock clock, int port, DiscoverySetting setting) {
        this.clock = clock;
        Randoms randoms = new Randoms(setting.seed());
        for (int i = 0; i < setting.watches(); i++) {
            EventLoop loop = loops.get(i % loops.size());
            Member member = new Member(loop);
            var random = randoms.of("watcher-" + i);
            member.watcher = new SimulatedWatcher(
                    new LoopScheduler(loop, clock),
                    NettyConnector.to(loop, port),
                    setting.times(),
                    random::nextInt,
                    member,
                    setting.servers());
            members.add(member);
        }
    }

    /** One after the other, so many seconds apart. */
    void start(double apart) {
        double now = clock.now();
        for (int i = 0; i < members.size(); i++) {
            Member member = members.get(i);
            double at = now + apart * i;
            member.loop.execute(() -> new LoopScheduler(member.loop, clock).at(at, member.watcher::start));
        }
    }

    /** From now on it is awaited that all come to a version that none of them has yet. */
    void expect(long version) {
        target = new Target(version, members.size());
    }

    Reached await(double seconds) throws InterruptedException {
        Target current = target;
        current.missing.await((long) (seconds * 1e3), TimeUnit.MILLISECONDS);
        return new Reached(current.missing.getCount(), current.lastAt.get());
    }

    /** Calls that were made. */
    long calls() {
        return calls.sum();
    }

    /** Calls and connections that failed. */
    long failures() {
        return failures.sum();
    }

    /** Answers that had begun and were not whole when their call was due. */
    long slow() {
        return slow.sum();
    }

    /** Ends all watches; waits until none makes a further call. */
    void stop() throws InterruptedException {
        for (Member member : members) {
            member.loop.execute(member.watcher::stop);
        }
        for (Member member : members) {
            member.loop.submit(() -> {}).await();
        }
    }

    private final class Member implements SimulatedWatcher.Events {
        private final EventLoop loop;
        private SimulatedWatcher watcher;
        private Target counted;

        private Member(EventLoop loop) {
            this.loop = loop;
        }

        @Override
        public void called() {
            calls.increment();
        }

        @Override
        public void failed() {
            failures.increment();
        }

        @Override
        public void slow() {
            slow.increment();
        }

        @Override
        public void hasVersion(long version) {
            Target current = target;
            if (current != null && current != counted && version >= current.version) {
                counted = current;
                current.lastAt.accumulate(clock.now());
                current.missing.countDown();
            }
        }
    }
}
