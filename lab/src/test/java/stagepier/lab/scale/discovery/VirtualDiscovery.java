package stagepier.lab.scale.discovery;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import stagepier.lab.model.Randoms;
import stagepier.lab.standin.DiscoveryService;
import stagepier.lab.standin.HostList;
import stagepier.lab.standin.Scheduler;

/** A discovery service under hollow watchers in virtual time; each message is on its way for 0.2 ms. */
final class VirtualDiscovery implements Scheduler {
    private static final double HOP = 0.0002;
    private static final double START_APART = 0.002;

    private record Task(double at, long number, Runnable what) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingDouble(Task::at).thenComparingLong(Task::number));
    private final List<Member> members = new ArrayList<>();
    private final DiscoveryService service;
    private long numbers;
    private double now;
    private long newsBytes;

    VirtualDiscovery(DiscoverySetting setting) {
        service = new DiscoveryService(this, setting.manners());
        HostNames.publishAll(service, setting.servers());
        Randoms randoms = new Randoms(setting.seed());
        for (int i = 0; i < setting.watches(); i++) {
            Member member = new Member(setting, randoms.of("watcher-" + i));
            members.add(member);
            at(START_APART * i, member.watcher::start);
        }
        pass(START_APART * setting.watches());
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public void at(double when, Runnable task) {
        tasks.add(new Task(Math.max(now, when), numbers++, task));
    }

    /** Goes on for so many seconds. */
    void pass(double seconds) {
        double until = now + seconds;
        while (!tasks.isEmpty() && tasks.peek().at() <= until) {
            Task task = tasks.poll();
            now = task.at();
            task.what().run();
        }
        now = until;
    }

    DiscoveryService service() {
        return service;
    }

    void drainOne() {
        service.publish(HostNames.draining(0));
    }

    /** Goes on until all have the newest version, but no longer than that; returns how many have not. */
    int untilCurrent(double seconds) {
        double until = now + seconds;
        while (behind() > 0 && now < until) {
            pass(0.01);
        }
        return behind();
    }

    private int behind() {
        int newest = service.list().generation();
        return (int) members.stream().filter(m -> m.watcher.version() < newest).count();
    }

    /** Bytes of the bodies of all answers so far that hold an entry. */
    long newsBytes() {
        return newsBytes;
    }

    /** Counts the calls of each watcher anew, up to the one that brings it up to date. */
    void countCalls() {
        members.forEach(m -> m.calls = 0);
    }

    /** The most calls that one watcher has made since. */
    int mostCalls() {
        return members.stream().mapToInt(m -> m.calls).max().orElse(0);
    }

    double meanCalls() {
        return members.stream().mapToInt(m -> m.calls).average().orElse(0);
    }

    private final class Member implements SimulatedWatcher.Events, SimulatedWatcher.Connector {
        private final SimulatedWatcher watcher;
        private int calls;

        private Member(DiscoverySetting setting, UniformRandomProvider random) {
            watcher = new SimulatedWatcher(
                    VirtualDiscovery.this, this, setting.times(), random::nextInt, this, setting.servers());
        }

        @Override
        public void called() {
            if (watcher.version() < service.list().generation()) {
                calls++;
            }
        }

        @Override
        public SimulatedWatcher.Connection open(SimulatedWatcher self) {
            Link link = new Link(this);
            at(now + 2 * HOP, () -> {
                self.up(link);
                if (service.resetsAll()) {
                    link.reset();
                }
            });
            return link;
        }
    }

    private final class Link implements SimulatedWatcher.Connection, DiscoveryService.Caller {
        private final Member member;
        private boolean isClosed;

        private Link(Member member) {
            this.member = member;
        }

        @Override
        public void send(String target) {
            QueryStringDecoder uri = new QueryStringDecoder(target);
            int from = Integer.parseInt(uri.parameters().get("from").get(0));
            double hold = Integer.parseInt(uri.parameters().get("hold_ms").get(0)) / 1e3;
            at(now + HOP, () -> {
                if (!isClosed) {
                    service.call(new OneCall(this), from, hold);
                }
            });
        }

        @Override
        public void close() {
            isClosed = true;
        }

        @Override
        public boolean isConnected() {
            return !isClosed;
        }

        @Override
        public void answer(HostList.Message message) {
            if (!message.entries().isEmpty()) {
                newsBytes += message.body().length;
            }
            int version = service.list().generation();
            at(now + HOP, () -> {
                member.watcher.piece(this);
                member.watcher.answered(this, 200, version);
            });
        }

        @Override
        public void refuse() {
            at(now + HOP, () -> member.watcher.answered(this, 503, -1));
        }

        @Override
        public void reset() {
            at(now + HOP, () -> member.watcher.ended(this));
        }
    }

    /** The service tells calls of one connection apart. */
    private record OneCall(Link link, Object identity) implements DiscoveryService.Caller {
        private OneCall(Link link) {
            this(link, new Object());
        }

        @Override
        public boolean isConnected() {
            return link.isConnected();
        }

        @Override
        public void answer(HostList.Message message) {
            link.answer(message);
        }

        @Override
        public void refuse() {
            link.refuse();
        }

        @Override
        public void reset() {
            link.reset();
        }
    }
}
