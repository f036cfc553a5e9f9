package stagepier.bans;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Cache servers that operators took out or put back, as far as this process knows. The decision with the highest
 * version is in force, whichever process received it. Does no I/O and reads no clock.
 */
public final class Bans {
    /**
     * Seconds for which the restoration of a server is remembered: longer than any warm-up, so that every process
     * counts the server as started then.
     */
    public static final double RESTORED_RETENTION_S = 120;

    private final Map<String, Ban> latest = new LinkedHashMap<>();

    /** Returns whether the server is out. */
    public boolean isBanned(String server) {
        Ban last = latest.get(server);
        return last != null && last.out();
    }

    /** Returns when the server was put back, in Unix time in seconds; 0 if it was not, or long ago. */
    public double restoredAt(String server) {
        Ban last = latest.get(server);
        return last == null || last.out() ? 0 : last.since();
    }

    /** Returns the decision in force on a server, or null if there is none. */
    public Ban latest(String server) {
        return latest.get(server);
    }

    /**
     * Applies a decision made in this or another process; returns whether it changed what is in force. Of two decisions
     * with the same version the one given later holds: the earlier one was not stored.
     */
    public boolean take(Ban ban) {
        Ban last = latest.get(ban.server());
        if (last != null && (last.version() > ban.version() || last.equals(ban))) {
            return false;
        }
        latest.put(ban.server(), ban);
        return true;
    }

    /** Removes and returns the servers that were put back long ago, which would otherwise use memory for ever. */
    public List<Ban> forget(double now) {
        List<Ban> expired = new ArrayList<>();
        for (Ban ban : latest.values()) {
            if (!ban.out() && now - ban.since() > RESTORED_RETENTION_S) {
                expired.add(ban);
            }
        }
        expired.forEach(ban -> latest.remove(ban.server()));
        return expired;
    }

    /** Returns how many servers are out. */
    public int out() {
        return (int) latest.values().stream().filter(Ban::out).count();
    }
}
