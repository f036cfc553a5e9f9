package stagepier.bans;

import java.io.IOException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The log of decisions in the folder that the processes of one router share. An entry is a file that is named by its
 * server and its version and never changed. It is appended by a hard link, which creates the complete file or fails if
 * another process has appended that version: there is one order for all processes without a lock, and a killed process
 * leaves an entry that is complete or none. Only the last entry on each server counts; those before it are deleted. The
 * folder is in memory: reading it does not block.
 */
final class BanLog {
    private static final Logger LOG = LoggerFactory.getLogger(BanLog.class);
    private static final String SUFFIX = ".decision";
    private static final Pattern NAME = Pattern.compile("([^.]+)\\.([0-9]{1,18})\\" + SUFFIX);
    /** Suffix of files that are being written. A file left behind by a killed process is never read. */
    private static final String PART_SUFFIX = ".part";
    /** Number of times that the log is read if other processes change it meanwhile. */
    private static final int MAX_READS = 16;

    private final Path folder;
    /** The last entries that were read before, by file; they do not change. */
    private final Map<Path, Ban> entries = new HashMap<>();
    /** Files that hold no decision; each is logged once. */
    private final Set<Path> foreignFiles = new HashSet<>();

    BanLog(Path folder) {
        this.folder = folder;
    }

    /**
     * Returns the last decision on each server, by its id.
     *
     * @throws IOException also if the log changed each time it was read
     */
    Map<String, Ban> read() throws IOException {
        Map<String, NavigableSet<Long>> versions = versions();
        for (int i = 0; i < MAX_READS; i++) {
            Map<String, Ban> latest = new HashMap<>();
            Set<Path> current = new HashSet<>();
            for (Map.Entry<String, NavigableSet<Long>> server : versions.entrySet()) {
                Ban last = lastEntry(server.getKey(), server.getValue(), current);
                if (last != null) {
                    latest.put(last.server(), last);
                }
            }
            // A folder is not listed at one moment: an entry may have been deleted before it was reached, and the one
            // that takes its place appended after.
            Map<String, NavigableSet<Long>> before = versions;
            versions = versions();
            if (versions.equals(before)) {
                entries.keySet().retainAll(current);
                foreignFiles.retainAll(current);
                return latest;
            }
        }
        throw new IOException("the log of decisions keeps changing");
    }

    /**
     * Returns the last decision on a server, or null if there is none; adds the files that were looked at. Its version
     * is that of the last file also if that one holds no decision, so that later decisions come behind both.
     */
    private Ban lastEntry(String name, NavigableSet<Long> versions, Set<Path> current) throws IOException {
        for (long version : versions.descendingSet()) {
            Path file = file(name, version);
            current.add(file);
            Ban ban = entries.containsKey(file) ? entries.get(file) : readEntry(file, version);
            if (ban != null) {
                return ban.withVersion(versions.last());
            }
        }
        return null;
    }

    private Ban readEntry(Path file, long version) throws IOException {
        Ban ban;
        try {
            ban = BanFormat.read(file, version);
        } catch (NoSuchFileException e) {
            LOG.debug("{} was deleted by another process", file.getFileName());
            return null;
        }
        if (ban != null && file.equals(file(ban))) {
            entries.put(file, ban);
            return ban;
        }
        if (foreignFiles.add(file)) {
            LOG.warn("ignoring {}: not a ban file of this version", file.getFileName());
        }
        return null;
    }

    /**
     * Appends an entry.
     *
     * @return false if another process has appended one with that version or a later one
     */
    boolean append(Ban ban) throws IOException {
        Files.createDirectories(folder);
        Path part = Files.createTempFile(folder, "part", PART_SUFFIX);
        try {
            Files.writeString(part, BanFormat.text(ban));
            Files.createLink(file(ban), part);
        } catch (FileAlreadyExistsException e) {
            return false;
        } finally {
            Files.deleteIfExists(part);
        }
        String name = ServerFileName.of(ban.server());
        NavigableSet<Long> versions = versions().getOrDefault(name, new TreeSet<>());
        versions.headSet(ban.version()).forEach(older -> delete(file(name, older)));
        // The version may have been free only because its entry was deleted after a later one.
        if (versions.higher(ban.version()) != null) {
            delete(ban);
            return false;
        }
        return true;
    }

    /** Deletes an entry that is no longer needed; later ones on its server stay. */
    void delete(Ban ban) {
        delete(file(ban));
    }

    private static void delete(Path file) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            LOG.debug("cannot delete {}, which is no longer needed: {}", file.getFileName(), e.toString());
        }
    }

    /** Returns the versions of the entries on each server, by its name in the files. */
    private Map<String, NavigableSet<Long>> versions() throws IOException {
        Map<String, NavigableSet<Long>> versions = new HashMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*" + SUFFIX)) {
            for (Path file : files) {
                Matcher name = NAME.matcher(file.getFileName().toString());
                if (name.matches()) {
                    versions.computeIfAbsent(name.group(1), server -> new TreeSet<>())
                            .add(Long.parseLong(name.group(2)));
                }
            }
        } catch (NoSuchFileException e) {
            return versions;
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return versions;
    }

    private Path file(Ban ban) {
        return file(ServerFileName.of(ban.server()), ban.version());
    }

    private Path file(String name, long version) {
        return folder.resolve(name + "." + version + SUFFIX);
    }
}
