package stagepier.bans;

import java.io.IOException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decisions in the form of the previous release: one file for each server, which is replaced. It is read and written
 * so that bans hold through an upgrade from that release, and through a return to it.
 */
final class PreviousBanFiles {
    private static final Logger LOG = LoggerFactory.getLogger(PreviousBanFiles.class);
    private static final String SUFFIX = ".ban";
    private static final String PART_SUFFIX = ".part";
    /** These files have no versions; the log assigns one. */
    private static final long NO_VERSION = 0;

    private final Path folder;
    private final Set<Path> reportedFiles = new HashSet<>();

    PreviousBanFiles(Path folder) {
        this.folder = folder;
    }

    List<Ban> readAll() throws IOException {
        List<Ban> all = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*" + SUFFIX)) {
            for (Path file : files) {
                Ban ban = read(file);
                if (ban != null) {
                    all.add(ban);
                }
            }
        } catch (NoSuchFileException e) {
            return all;
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return all;
    }

    /** Returns the decision on a server, or null if there is none. */
    Ban read(String server) throws IOException {
        return read(file(server));
    }

    /** Returns the decision in a file, or null if there is none. Foreign files are logged once and ignored. */
    private Ban read(Path file) throws IOException {
        Ban ban;
        try {
            ban = BanFormat.read(file, NO_VERSION);
        } catch (NoSuchFileException e) {
            return null;
        }
        if (ban != null && file.equals(file(ban.server()))) {
            return ban;
        }
        if (reportedFiles.add(file)) {
            LOG.warn("ignoring {}: not a ban file of this version", file.getFileName());
        }
        return null;
    }

    /** Writes a decision, unless the file has it or a later one. A missing file says that the server is in use. */
    void write(Ban ban) throws IOException {
        Ban present = read(ban.server());
        if (present == null ? !ban.out() : present.since() >= ban.since()) {
            return;
        }
        Path part = Files.createTempFile(folder, "part", PART_SUFFIX);
        try {
            Files.writeString(part, BanFormat.text(ban));
            Files.move(part, file(ban.server()), StandardCopyOption.ATOMIC_MOVE);
        } finally {
            Files.deleteIfExists(part);
        }
    }

    /** Deletes the file of an expired decision, unless it holds a later one. */
    void delete(Ban expired) throws IOException {
        Ban present = read(expired.server());
        if (present != null && present.since() <= expired.since()) {
            Files.deleteIfExists(file(expired.server()));
        }
    }

    private Path file(String server) {
        return folder.resolve(ServerFileName.of(server) + SUFFIX);
    }
}
