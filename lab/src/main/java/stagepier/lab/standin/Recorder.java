package stagepier.lab.standin;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import stagepier.lab.ledger.Event;

/** Collects what all parts of a run saw, from any thread. */
public final class Recorder {
    private final Queue<Event> events = new ConcurrentLinkedQueue<>();

    public void add(Event event) {
        events.add(event);
    }

    public List<Event> all() {
        return List.copyOf(events);
    }
}
