package stagepier.freeze;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The replies of one round, without those that another reply of the round knows to come from a process that is over: what that
 * one promised or voted is forgotten (crash vectors; Michael, Ports, Sharma and Szekeres, <i>Recovering shared objects without
 * stable storage</i>, DISC 2017).
 */
final class Tally {
    private final Map<String, Reply> replies = new LinkedHashMap<>();

    void add(String name, Reply reply) {
        replies.put(name, reply);
    }

    int size() {
        return replies.size();
    }

    Map<String, Reply> all() {
        return replies;
    }

    /** Replies that count: of a process that none of this round's replies knows to be over. */
    Map<String, Reply> standing(Predicate<Reply> which) {
        Map<String, Reply> standing = new LinkedHashMap<>();
        replies.forEach((name, reply) -> {
            boolean over = replies.values().stream().anyMatch(r -> r.known(name) > reply.incarnation());
            if (!over && which.test(reply)) {
                standing.put(name, reply);
            }
        });
        return standing;
    }

    Map<String, Reply> agreed() {
        return standing(Reply::ok);
    }
}
