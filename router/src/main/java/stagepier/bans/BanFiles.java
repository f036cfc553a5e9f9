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
 * Bans in the folder that this process shares with the one before it and the one after it: a small file a server, written
 * whole and renamed, so that neither locks nor an order of writers are needed. The folder is in memory: reading it does
 * not block.
 */
public final class BanFiles {
    private static final Logger LOG = LoggerFactory.getLogger(BanFiles.class);
    private static final String FOLDER = "stagepier-bans-1";
    private static final String END = ".ban";
    /** End of the name of a file that is being written; one that a kill left behind is never read. */
    private static final String PART = ".part";

    private static final Pattern FORM =
            Pattern.compile("stagepier ban 1 (out|back) ([0-9]{1,12}\\.[0-9]{6}) ([!-~]{1,128})\n");
    private static final int LARGEST = 256;
    /** A folder that changed less than this before it was read may change again within the same time stamp. */
    private static final long STAMP_MS = 100;

    private final Path folder;
    private final Set<Path> complained = new HashSet<>();
    /** Bans that could not be written yet, the last of each server. */
    private final Map<String, Ban> unwritten = new LinkedHashMap<>();

    private FileTime readAs;
    private boolean readLate;

    /** @param shared the folder that processes share; bans are in one of their own in it, made with the first */
    public BanFiles(Path shared) {
        folder = shared.resolve(FOLDER);
    }

    /** Keeps it for other processes; where that cannot be now, as soon as it can. Returns whether it is kept. */
    public boolean save(Ban ban) {
        unwritten.remove(ban.server());
        try {
            write(ban);
            return true;
        } catch (IOException e) {
            LOG.warn("a ban is not kept for other processes yet: {}", e.toString());
            unwritten.put(ban.server(), ban);
            return false;
        }
    }

    /** Writes what could not be written before, unless another process has said something newer since. */
    private void writeAgain() {
        for (Ban ban : List.copyOf(unwritten.values())) {
            try {
                Ban kept = read(file(ban.server()));
                if (kept == null || kept.since() < ban.since()) {
                    write(ban);
                }
                unwritten.remove(ban.server());
                LOG.info("a ban is kept for other processes now: {}", ban.server());
            } catch (IOException e) {
                LOG.debug("a ban is still not kept: {}", e.toString());
            }
        }
    }

    private void write(Ban ban) throws IOException {
        Files.createDirectories(folder);
        Path part = Files.createTempFile(folder, "part", PART);
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

    /** Drops what has no more meaning, unless another process has said something since. */
    public void delete(Ban ban) {
        try {
            Path file = file(ban.server());
            if (ban.equals(read(file))) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            LOG.debug("a ban that is over stays: {}", e.toString());
        }
    }

    /** All bans that are kept, if any may be new since this was asked last; none otherwise. */
    public List<Ban> readChanges() {
        writeAgain();
        List<Ban> all = new ArrayList<>();
        try {
            FileTime changed = Files.getLastModifiedTime(folder);
            if (changed.equals(readAs) && readLate) {
                return all;
            }
            readAs = changed;
            readLate = System.currentTimeMillis() - changed.toMillis() > STAMP_MS;
            try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*" + END)) {
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
            // Read again next time, though nothing in the folder may change until then.
            readAs = null;
            LOG.warn("bans cannot be read: {}", e.toString());
        }
        return all;
    }

    /** The ban in a file, or null where there is none; what is torn or foreign is told once and ignored. */
    private Ban read(Path file) throws IOException {
        try {
            if (Files.size(file) <= LARGEST) {
                Matcher m = FORM.matcher(Files.readString(file, StandardCharsets.ISO_8859_1));
                if (m.matches() && file.equals(file(m.group(3)))) {
                    return new Ban(m.group(3), m.group(1).equals("out"), Double.parseDouble(m.group(2)));
                }
            }
        } catch (NoSuchFileException e) {
            return null;
        }
        if (complained.add(file)) {
            LOG.warn("{} is no ban of this version and is ignored", file.getFileName());
        }
        return null;
    }

    /** Ids may hold what file names may not. */
    private Path file(String server) {
        StringBuilder name = new StringBuilder();
        for (char c : server.toCharArray()) {
            name.append(Character.isLetterOrDigit(c) || c == '-' ? String.valueOf(c) : "_%02x".formatted((int) c));
        }
        return folder.resolve(name + END);
    }
}
