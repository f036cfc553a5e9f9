package stagepier.bans;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores bans in the folder that this process shares with its predecessor and its successor. Each server has a small
 * file that is written completely and renamed into place, so that neither locks nor an order of writers are needed. The
 * folder is in memory: reading it does not block.
 */
public final class BanFiles {
    private static final Logger LOG = LoggerFactory.getLogger(BanFiles.class);
    private static final String FOLDER = "stagepier-bans-1";
    private static final String SUFFIX = ".ban";
    /** Suffix of files that are being written. A file left behind by a killed process is never read. */
    private static final String PART_SUFFIX = ".part";

    private static final Pattern FORMAT =
            Pattern.compile("stagepier ban 1 (out|back) ([0-9]{1,12}\\.[0-9]{6}) ([!-~]{1,128})\n");
    private static final int MAX_FILE_BYTES = 256;
    /** If the folder was modified less than this before it was read, a later change may carry the same time stamp. */
    private static final long TIMESTAMP_RESOLUTION_MS = 100;

    private final Path folder;
    private final Set<Path> reportedFiles = new HashSet<>();
    /** The latest ban of each server that could not be written yet. */
    private final Map<String, Ban> pendingWrites = new LinkedHashMap<>();

    private FileTime lastReadModified;
    private boolean lastReadSettled;

    /** @param shared the folder that processes share; bans are in a subfolder, which is created with the first ban */
    public BanFiles(Path shared) {
        folder = shared.resolve(FOLDER);
    }

    /** Writes a ban for other processes, with retries if that fails now. Returns whether it was written. */
    public boolean save(Ban ban) {
        pendingWrites.remove(ban.server());
        try {
            write(ban);
            return true;
        } catch (IOException e) {
            LOG.warn("cannot write a ban for other processes: {}; retrying", e.toString());
            pendingWrites.put(ban.server(), ban);
            return false;
        }
    }

    /** Writes bans that could not be written before, unless another process has written a newer one. */
    private void retryPendingWrites() {
        for (Ban ban : List.copyOf(pendingWrites.values())) {
            try {
                Ban stored = read(file(ban.server()));
                if (stored == null || stored.since() < ban.since()) {
                    write(ban);
                }
                pendingWrites.remove(ban.server());
                LOG.info("wrote the pending ban for other processes: {}", ban.server());
            } catch (IOException e) {
                LOG.debug("still cannot write a ban for other processes: {}", e.toString());
            }
        }
    }

    private void write(Ban ban) throws IOException {
        Files.createDirectories(folder);
        Path part = Files.createTempFile(folder, "part", PART_SUFFIX);
        try {
            Files.writeString(
                    part,
                    String.format(
                            Locale.ROOT,
                            "stagepier ban 1 %s %.6f %s\n",
                            ban.out() ? "out" : "back",
                            ban.since(),
                            ban.server()));
            Files.move(part, file(ban.server()), StandardCopyOption.ATOMIC_MOVE);
        } finally {
            Files.deleteIfExists(part);
        }
    }

    /** Deletes an expired ban, unless another process has written a newer one. */
    public void delete(Ban ban) {
        try {
            Path file = file(ban.server());
            if (ban.equals(read(file))) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            LOG.debug("cannot delete the file of an expired ban: {}", e.toString());
        }
    }

    /** Returns all stored bans if any of them may have changed since the last call; an empty list otherwise. */
    public List<Ban> readChanges() {
        retryPendingWrites();
        List<Ban> all = new ArrayList<>();
        try {
            FileTime modified = Files.getLastModifiedTime(folder);
            if (modified.equals(lastReadModified) && lastReadSettled) {
                return all;
            }
            lastReadModified = modified;
            lastReadSettled = System.currentTimeMillis() - modified.toMillis() > TIMESTAMP_RESOLUTION_MS;
            try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*" + SUFFIX)) {
                for (Path file : files) {
                    Ban ban = read(file);
                    if (ban != null) {
                        all.add(ban);
                    }
                }
            }
        } catch (NoSuchFileException e) {
            return all;
        } catch (IOException | java.nio.file.DirectoryIteratorException e) {
            // Makes the next call read again even if the folder does not change until then.
            lastReadModified = null;
            LOG.warn("cannot read the ban files: {}; retrying", e.toString());
        }
        return all;
    }

    /**
     * Returns the ban in a file, or null if there is none. Incomplete and foreign files are logged once and ignored.
     */
    private Ban read(Path file) throws IOException {
        try {
            if (Files.size(file) <= MAX_FILE_BYTES) {
                Matcher m = FORMAT.matcher(Files.readString(file, StandardCharsets.ISO_8859_1));
                if (m.matches() && file.equals(file(m.group(3)))) {
                    return new Ban(m.group(3), m.group(1).equals("out"), Double.parseDouble(m.group(2)));
                }
            }
        } catch (NoSuchFileException e) {
            return null;
        }
        if (reportedFiles.add(file)) {
            LOG.warn("ignoring {}: not a ban file of this version", file.getFileName());
        }
        return null;
    }

    /** Returns the file of a server, with the characters escaped that file names may not contain. */
    private Path file(String server) {
        StringBuilder name = new StringBuilder();
        for (char c : server.toCharArray()) {
            name.append(Character.isLetterOrDigit(c) || c == '-' ? String.valueOf(c) : "_%02x".formatted((int) c));
        }
        return folder.resolve(name + SUFFIX);
    }
}
