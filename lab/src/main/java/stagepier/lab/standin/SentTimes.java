package stagepier.lab.standin;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * When what a router sent to a cache node went off, where a relay lies between them: rules hold a router to that, not to when it came
 * through. By the port from which the relay connects to the node. One thread.
 */
final class SentTimes {
    /** All bytes of a connection up to that count had gone off by then. */
    private record Piece(long upTo, double at) {}

    private final Map<Integer, ArrayDeque<Piece>> connections = new HashMap<>();

    void sent(int port, int bytes, double at) {
        ArrayDeque<Piece> pieces = connections.computeIfAbsent(port, p -> new ArrayDeque<>());
        pieces.add(new Piece((pieces.isEmpty() ? 0 : pieces.peekLast().upTo()) + bytes, at));
    }

    /** When a byte went off, by its place in the connection; places are asked for in their order. */
    double at(int port, long place, double withoutRelay) {
        ArrayDeque<Piece> pieces = connections.get(port);
        if (pieces == null) {
            return withoutRelay;
        }
        while (pieces.size() > 1 && pieces.peekFirst().upTo() <= place) {
            pieces.removeFirst();
        }
        return pieces.peekFirst().at();
    }

    /** Another connection from that port; of one that was closed the node may still read what lies there. */
    void opened(int port) {
        connections.remove(port);
    }
}
