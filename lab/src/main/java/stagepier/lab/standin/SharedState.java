package stagepier.lab.standin;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import stagepier.lab.ledger.Event;
import stagepier.lab.model.OriginModel;
import stagepier.lab.model.Randoms;
import stagepier.lab.scenario.Scenario;

/** What all cache nodes share: the origin, the versions of keys, and what was done for keyed writes. One thread. */
final class SharedState {
    /** An answer to a keyed write, and when it was first made. */
    private record Done(double at, long serial) {}

    private final EventLoop loop;
    private final LabClock clock;
    private final Recorder recorder;
    private final Scenario scenario;
    private final OriginModel origin;
    private final UniformRandomProvider work;
    private final SentTimes sent = new SentTimes();
    private final List<CacheNode> nodes = new ArrayList<>();
    private final Map<Long, Long> versions = new HashMap<>();
    private final Map<String, Done> keyed = new HashMap<>();
    private long serials;
    private int stopsSeen;

    SharedState(EventLoop loop, LabClock clock, Recorder recorder, Scenario scenario, Randoms randoms) {
        this.loop = loop;
        this.clock = clock;
        this.recorder = recorder;
        this.scenario = scenario;
        origin = new OriginModel(scenario.origin(), randoms.of("origin"));
        work = randoms.of("work");
    }

    EventLoop loop() {
        return loop;
    }

    LabClock clock() {
        return clock;
    }

    Recorder recorder() {
        return recorder;
    }

    Scenario scenario() {
        return scenario;
    }

    OriginModel origin() {
        return origin;
    }

    SentTimes sent() {
        return sent;
    }

    List<CacheNode> nodes() {
        return nodes;
    }

    /** Core seconds of a request of that class. */
    double workOf(int kind) {
        var k = scenario.kinds().get(kind);
        return k.workLeast() + work.nextDouble() * (k.workMost() - k.workLeast());
    }

    /** Index of a class by its name, or -1. */
    int kind(String name) {
        for (int i = 0; i < scenario.kinds().size(); i++) {
            if (scenario.kinds().get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    long version(long key) {
        return versions.getOrDefault(key, 0L);
    }

    /** When a fetch is done, or NaN; tells the recorder where the origin stops. */
    double fetch(OriginModel.Cause cause) {
        double done = origin.fetch(clock.now(), cause);
        if (origin.stops() > stopsSeen) {
            stopsSeen = origin.stops();
            recorder.add(new Event.Stopped(clock.now(), origin.coldPartAtStop()));
        }
        return done;
    }

    /** A write is carried out: all copies go void. */
    void changed(long key) {
        versions.merge(key, 1L, Long::sum);
        nodes.forEach(n -> n.model().drop(key));
    }

    /** The serial of what was done for that idempotency key within the window, or 0 where nothing was. */
    long alreadyDone(String idempotencyKey, double window) {
        Done done = idempotencyKey.isEmpty() ? null : keyed.get(idempotencyKey);
        return done != null && clock.now() - done.at() <= window ? done.serial() : 0;
    }

    long done(String idempotencyKey) {
        long serial = ++serials;
        if (!idempotencyKey.isEmpty()) {
            keyed.put(idempotencyKey, new Done(clock.now(), serial));
        }
        return serial;
    }

    void at(double when, Runnable what) {
        loop.schedule(what, (long) (Math.max(0, when - clock.now()) * 1e6), TimeUnit.MICROSECONDS);
    }
}
