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
    private final Map<String, RegisterResponse> replies = new LinkedHashMap<>();

    void add(String name, RegisterResponse reply) {
        replies.put(name, reply);
    }

    int size() {
        return replies.size();
    }

    Map<String, RegisterResponse> all() {
        return replies;
    }

    /** Replies that count: of a process that none of this round's replies knows to be over. */
    Map<String, RegisterResponse> standing(Predicate<RegisterResponse> which) {
        Map<String, RegisterResponse> standing = new LinkedHashMap<>();
        replies.forEach((name, reply) -> {
            boolean over = replies.values().stream().anyMatch(r -> r.known(name) > reply.incarnation());
            if (!over && which.test(reply)) {
                standing.put(name, reply);
            }
        });
        return standing;
    }

    Map<String, RegisterResponse> agreed() {
        return standing(RegisterResponse::ok);
    }
}
