package stagepier.lab.standin;

import com.google.gson.JsonObject;
import java.util.List;
import stagepier.lab.ledger.Event;
import stagepier.lab.nemesis.Link;
import stagepier.lab.nemesis.LinkConditions;
import stagepier.lab.nemesis.Nemesis;

/** One router's agent of discovery, on loopback: the whole list, and a watch that waits for what is newer. */
final class DiscoveryAgent {
    private static final double LOOK_AGAIN = 0.01;

    private final SharedState world;
    private final Nemesis nemesis;
    private final int router;
    private final DiscoveryService service;
    private final DiscoveryFront front;

    /** @param observer is told what goes over the connections to it */
    DiscoveryAgent(SharedState world, Nemesis nemesis, int router, DiscoveryFront.Observer observer) {
        this.world = world;
        this.nemesis = nemesis;
        this.router = router;
        service = new DiscoveryService(new LoopScheduler(world.loop(), world.clock()), DiscoveryBehaviour.PUSHED);
        front = new DiscoveryFront(world.loop(), service, new DiscoveryFront.Observer() {
            @Override
            public void opened() {
                observer.opened();
            }

            @Override
            public void requested(String target, int bytes) {
                observer.requested(target, bytes);
            }

            @Override
            public void answered(HostList.Message message, int bytes) {
                observer.answered(message, bytes);
                toldOnceHeard(message.entries());
            }

            @Override
            public void refused(int bytes) {
                observer.refused(bytes);
            }
        });
    }

    /** Waits; not on the event loop. */
    void listen() throws InterruptedException {
        front.listen();
    }

    int port() {
        return front.port();
    }

    /** Something has changed, and this router's agent has heard of it. On the event loop. */
    void publish(HostList.Entry entry) {
        service.publish(entry);
    }

    /** Version of the list that it has. On the event loop. */
    int generation() {
        return service.list().generation();
    }

    void down(boolean isDown) {
        service.down(isDown);
    }

    /** The list as this router has it now, as its configuration tells it after a restart. */
    JsonObject known() {
        return service.list().json();
    }

    /** A router has been told of what was written to it once that has come through. */
    private void toldOnceHeard(List<HostList.Entry> news) {
        double now = world.clock().now();
        LinkConditions t = nemesis.treatment(Link.DISCOVERY, Link.AGENT, router, now);
        if (t.isSilence()) {
            world.at(now + LOOK_AGAIN, () -> toldOnceHeard(news));
            return;
        }
        double heard = now + t.delay() + t.jitter();
        news.forEach(e -> world.recorder()
                .add(new Event.Announced(heard, router, e.node(), e.lifecycle().equals("up"))));
    }

    void close() {
        front.close();
    }
}
