package stagepier.bans;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The operators' decisions on cache servers, shared with the predecessor and the successor of this process. A decision
 * is compared with the log as it is at that moment and is appended right behind what it was compared with, or compared
 * again, so that all processes agree on the order and none overwrites a decision that it has not seen.
 */
public final class SharedBans {
    private static final Logger LOG = LoggerFactory.getLogger(SharedBans.class);
    private static final String FOLDER = "stagepier-bans-1";
    /** Number of times that a decision is compared and appended if other processes append theirs meanwhile. */
    private static final int MAX_APPENDS = 16;
    /** A change of the folder within this time after another one may carry the same time stamp. */
    private static final long TIMESTAMP_RESOLUTION_NS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * The result of a call.
     *
     * @param ban     the decision in force; null if the server was never out
     * @param changed whether the call changed whether the server is out
     * @param stored  whether other processes can read the decision; if not, it is stored as soon as that is possible
     */
    public record Decision(Ban ban, boolean changed, boolean stored) {}

    /**
     * A decision that could not be stored yet.
     *
     * @param ban   has the version of the decision that it was compared with; it gets its own when it is stored
     * @param basis that version; 0 if there was no decision on the server
     */
    private record PendingDecision(Ban ban, long basis) {}

    private final Path folder;
    private final BanLog log;
    private final PreviousBanFiles previousFiles;
    private final Map<String, PendingDecision> pending = new LinkedHashMap<>();
    /** The stored decisions by server, when they could last be read. */
    private Map<String, Ban> stored = new HashMap<>();

    private FileTime lastModified;
    private long lastModifiedSeenAt;
    /** Whether the folder was read after the last change that can carry its time stamp. */
    private boolean settled;

    /** @param shared the folder that processes share; decisions are in a subfolder, which is created with the first one */
    public SharedBans(Path shared) {
        folder = shared.resolve(FOLDER);
        log = new BanLog(folder);
        previousFiles = new PreviousBanFiles(folder);
    }

    /**
     * Takes a server out or puts it back, compared with what all processes have decided until now.
     *
     * @param now in Unix time in seconds
     */
    public Decision decide(String server, boolean out, double now) {
        try {
            for (int i = 0; i < MAX_APPENDS; i++) {
                readLog();
                importPrevious(previousFiles.read(server));
                Decision decision = tryDecide(server, out, now);
                if (decision != null) {
                    return decision;
                }
            }
            LOG.warn("cannot store a ban for other processes: they store too many; retrying");
        } catch (IOException e) {
            LOG.warn("cannot store a ban for other processes: {}; retrying", e.toString());
        }
        return postpone(server, out, now);
    }

    /** Returns null if another process has appended a decision since the log was read. */
    private Decision tryDecide(String server, boolean out, double now) throws IOException {
        Ban inForce = inForce(server);
        if (!out && !isOut(inForce) && !pending.containsKey(server)) {
            return new Decision(inForce, false, true);
        }
        // A repeated call out is stored as well: it must outlast a call back that another process could not store yet.
        Ban next = Ban.next(server, out, inForce, now).after(stored.get(server));
        if (!append(next)) {
            return null;
        }
        pending.remove(server);
        writePrevious(next);
        return new Decision(next, isOut(inForce) != out, true);
    }

    private Decision postpone(String server, boolean out, double now) {
        Ban inForce = inForce(server);
        if (!out && !isOut(inForce)) {
            return new Decision(inForce, false, true);
        }
        long basis = version(stored.get(server));
        Ban next = Ban.next(server, out, inForce, now).withVersion(basis);
        pending.put(server, new PendingDecision(next, basis));
        return new Decision(next, isOut(inForce) != out, false);
    }

    private static long version(Ban ban) {
        return ban == null ? 0 : ban.version();
    }

    /** Returns the latest decision on a server that this process knows of; null if there is none. */
    private Ban inForce(String server) {
        PendingDecision waiting = pending.get(server);
        return waiting == null ? stored.get(server) : waiting.ban();
    }

    private static boolean isOut(Ban ban) {
        return ban != null && ban.out();
    }

    /** Stores decisions that could not be stored before, unless another process has decided on the server since. */
    private void retryPending() {
        for (PendingDecision waiting : List.copyOf(pending.values())) {
            String server = waiting.ban().server();
            try {
                readLog();
                importPrevious(previousFiles.read(server));
                if (version(stored.get(server)) > waiting.basis()) {
                    pending.remove(server);
                    LOG.info("dropped the pending ban for {}: another process has decided since", server);
                } else if (append(waiting.ban().after(stored.get(server)))) {
                    pending.remove(server);
                    LOG.info("wrote the pending ban for other processes: {}", server);
                }
            } catch (IOException e) {
                LOG.debug("still cannot store a ban for other processes: {}", e.toString());
            }
        }
    }

    /** Returns whether the decision was stored; if not, another process has stored one since the log was read. */
    private boolean append(Ban ban) throws IOException {
        boolean appended = log.append(ban);
        if (appended) {
            stored.put(ban.server(), ban);
        }
        return appended;
    }

    private void readLog() throws IOException {
        stored = log.read();
    }

    /** Appends a decision of a process of the previous release, if it is later than those in the log. */
    private void importPrevious(Ban previous) throws IOException {
        for (int i = 0; i < MAX_APPENDS && previous != null; i++) {
            Ban last = stored.get(previous.server());
            if (last != null && last.since() >= previous.since()) {
                return;
            }
            if (!append(previous.after(last))) {
                readLog();
            }
        }
    }

    private void writePrevious(Ban ban) {
        try {
            previousFiles.write(ban);
        } catch (IOException e) {
            LOG.debug("cannot write a ban for processes of the previous release: {}", e.toString());
            readAgain();
        }
    }

    /** Makes the next call of {@link #readChanges} read the folder even if it does not change until then. */
    private void readAgain() {
        lastModified = null;
    }

    /** Deletes an expired decision. */
    public void delete(Ban ban) {
        try {
            previousFiles.delete(ban);
            log.delete(ban);
        } catch (IOException e) {
            LOG.debug("cannot delete the file of an expired ban: {}", e.toString());
        }
    }

    /** Returns the latest decision on each server if any of them may have changed since the last call. */
    public List<Ban> readChanges() {
        retryPending();
        try {
            if (hasSettled(Files.getLastModifiedTime(folder))) {
                return List.of();
            }
            readLog();
            for (Ban previous : previousFiles.readAll()) {
                importPrevious(previous);
            }
            stored.values().forEach(this::writePrevious);
        } catch (NoSuchFileException e) {
            return List.of();
        } catch (IOException e) {
            readAgain();
            LOG.warn("cannot read the ban files: {}; retrying", e.toString());
        }
        return stored.keySet().stream().map(this::inForce).toList();
    }

    /** Returns whether the folder was read after its last change. */
    private boolean hasSettled(FileTime modified) {
        long now = System.nanoTime();
        if (!modified.equals(lastModified)) {
            lastModified = modified;
            lastModifiedSeenAt = now;
            settled = false;
            return false;
        }
        boolean wasSettled = settled;
        settled = now - lastModifiedSeenAt > TIMESTAMP_RESOLUTION_NS;
        return wasSettled;
    }
}
