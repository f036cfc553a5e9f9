package stagepier.lab.scale;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.annotations.SerializedName;
import java.io.IOException;
import java.io.Reader;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * What scale runs have measured, as it is kept in a file.
 *
 * @param command the commands that gave it, as they were typed
 * @param cores   processor cores of the machine that it was measured on
 * @param samples of valid runs only
 * @param invalid a line for each run or figure that was measured and is not among the samples, with the reason
 */
public record ScaleResults(
        String command, @SerializedName("cpu_cores") int cores, List<Sample> samples, List<String> invalid) {
    private static final Gson GSON =
            new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create();
    private static final String BETWEEN_COMMANDS = "; ";
    private static final Comparator<Sample> ORDER = Comparator.comparing(Sample::conversation)
            .thenComparing(Sample::figure)
            .thenComparingInt(Sample::routers)
            .thenComparingLong(Sample::seed);

    public ScaleResults {
        samples = List.copyOf(samples);
        invalid = List.copyOf(invalid);
    }

    /** @throws IOException also where the file holds something else */
    public static ScaleResults read(Path file) throws IOException {
        try (Reader from = Files.newBufferedReader(file)) {
            ScaleResults read = GSON.fromJson(from, ScaleResults.class);
            if (read == null) {
                throw new IOException(file + ": is empty");
            }
            return read;
        } catch (RuntimeException e) {
            // Of JSON that is none, and of a record that cannot be made of it.

            throw new IOException(file + ": holds no results of scale runs: " + e.getMessage(), e);
        }
    }

    /** The text that {@link #write} puts into a file. */
    public String toJson() {
        return GSON.toJson(this);
    }

    /** Writes it whole or not at all. */
    public void write(Path file) throws IOException {
        Path whole = file.toAbsolutePath();
        Files.createDirectories(whole.getParent());
        Path partial = whole.resolveSibling(whole.getFileName() + ".partial");
        try (Writer to = Files.newBufferedWriter(partial)) {
            GSON.toJson(this, to);
            to.write(System.lineSeparator());
        }
        Files.move(partial, whole, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    /** These and those of a later run, which prevail where both measured the same figure at one size with one seed. */
    public ScaleResults with(ScaleResults later) {
        List<Sample> all = new ArrayList<>(later.samples);
        samples.stream()
                .filter(earlier -> later.samples.stream().noneMatch(s -> isOfSame(s, earlier)))
                .forEach(all::add);
        all.sort(ORDER);
        Set<String> commands = new LinkedHashSet<>(List.of(command.split(BETWEEN_COMMANDS)));
        commands.addAll(List.of(later.command.split(BETWEEN_COMMANDS)));
        Set<String> notValid = new LinkedHashSet<>(invalid);
        notValid.addAll(later.invalid);
        return new ScaleResults(String.join(BETWEEN_COMMANDS, commands), later.cores, all, List.copyOf(notValid));
    }

    private static boolean isOfSame(Sample a, Sample b) {
        return ORDER.compare(a, b) == 0;
    }
}
