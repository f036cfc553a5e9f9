package stagepier.bans;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Cache servers that staff took out or put back. What was said last of a server holds, whichever process heard it. Free of
 * I/O and clock.
 */
public final class Bans {
    /**
     * Seconds for which it is remembered that a server was put back: longer than any warm-up, so that every process counts
     * it as started then.
     */
    public static final double BACK_REMEMBERED = 120;

    private final Map<String, Ban> said = new LinkedHashMap<>();

    /** Whether the server is out. */
    public boolean isBanned(String server) {
        Ban last = said.get(server);
        return last != null && last.out();
    }

    /** When the server was put back, in Unix time in seconds; 0 where it was not, or long ago. */
    public double backSince(String server) {
        Ban last = said.get(server);
        return last == null || last.out() ? 0 : last.since();
    }

    /** When something said now is said: after all that was said before of that server, and to the microsecond, as it is kept. */
    public double stamp(String server, double now) {
        Ban last = said.get(server);
        return Math.rint((last == null ? now : Math.max(now, last.since() + 1e-3)) * 1e6) / 1e6;
    }

    /** Takes what was said, here or elsewhere; returns whether it is news. */
    public boolean take(Ban ban) {
        Ban last = said.get(ban.server());
        if (last != null && (last.since() > ban.since() || last.equals(ban))) {
            return false;
        }
        said.put(ban.server(), ban);
        return true;
    }

    /** Forgets who is back for long, and returns these. Guards against memory that grows with every server ever put back. */
    public List<Ban> forget(double now) {
        List<Ban> old = new ArrayList<>();
        for (Ban ban : said.values()) {
            if (!ban.out() && now - ban.since() > BACK_REMEMBERED) {
                old.add(ban);
            }
        }
        old.forEach(ban -> said.remove(ban.server()));
        return old;
    }

    /** How many servers are out. */
    public int out() {
        return (int) said.values().stream().filter(Ban::out).count();
    }
}
