package stagepier.freeze;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The replies of one round. A reply is not counted if another reply of the round shows that its sender has since been
 * replaced by a later incarnation, because the promises and votes of the ended process are lost (crash vectors;
 * Michael, Ports, Sharma and Szekeres, <i>Recovering shared objects without stable storage</i>, DISC 2017).
 */
final class Tally {
    private final Map<String, RegisterResponse> replies = new LinkedHashMap<>();

    void add(String name, RegisterResponse reply) {
        replies.put(name, reply);
    }

    int size() {
        return replies.size();
    }

    Map<String, RegisterResponse> replies() {
        return replies;
    }

    /** Returns the replies that pass the filter and whose sender no reply of this round shows to have ended. */
    Map<String, RegisterResponse> valid(Predicate<RegisterResponse> filter) {
        Map<String, RegisterResponse> valid = new LinkedHashMap<>();
        replies.forEach((name, reply) -> {
            boolean ended = replies.values().stream().anyMatch(r -> r.incarnationOf(name) > reply.incarnation());
            if (!ended && filter.test(reply)) {
                valid.put(name, reply);
            }
        });
        return valid;
    }

    Map<String, RegisterResponse> agreed() {
        return valid(RegisterResponse::ok);
    }
}
