package stagepier.lab.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import stagepier.lab.scale.Conversation;
import stagepier.lab.scale.Sample;

/** What several results files come to together. */
public record CapacityReport(List<ResultsFile> files, int target, List<CapacityRow> rows) {
    /** The size of the fleet that the capacity page is about. */
    public static final int FLEET_ROUTERS = 1_900;

    /** @throws InvalidResultsException where two files hold the same figure of the same size and seed */
    public static CapacityReport of(List<ResultsFile> files, int target) throws InvalidResultsException {
        List<Sample> all = new ArrayList<>();
        Map<String, String> seen = new HashMap<>();
        for (ResultsFile file : files) {
            for (int i = 0; i < file.samples().size(); i++) {
                Sample s = file.samples().get(i);
                String key = s.conversation() + " " + s.figure() + ", " + s.routers() + " routers, seed " + s.seed();
                String other = seen.putIfAbsent(key, file.name());
                if (other != null) {
                    throw new InvalidResultsException(
                            file.name(), "samples[" + i + "]", key + " stands in " + other + " already");
                }
                all.add(s);
            }
        }
        return new CapacityReport(
                List.copyOf(files),
                target,
                SeriesTable.of(all).stream()
                        .map(series -> CapacityRow.of(series, target))
                        .toList());
    }

    /** What the files say of runs that did not keep their own pace, each with its file. */
    public List<String> invalid() {
        return files.stream()
                .flatMap(file -> file.invalid().stream().map(why -> file.name() + ": not valid: " + why))
                .toList();
    }

    /** The row of a subject; empty where nothing was measured of it. */
    public Optional<CapacityRow> row(String conversation, String figure) {
        return rows.stream()
                .filter(row -> row.series().subject().conversation().equals(conversation)
                        && row.series().subject().figure().equals(figure))
                .findFirst();
    }

    /** The files that hold values of a subject, by their names. */
    public List<String> filesOf(Subject subject) {
        return files.stream()
                .filter(file -> file.samples().stream().anyMatch(s -> isPartOf(s, subject)))
                .map(ResultsFile::name)
                .toList();
    }

    /** The conversations that the total adds up. */
    public List<Conversation> totalled() {
        return files.stream()
                .flatMap(file -> file.samples().stream())
                .filter(SeriesTable::isTotalled)
                .map(Sample::conversation)
                .distinct()
                .sorted()
                .toList();
    }

    private static boolean isPartOf(Sample sample, Subject subject) {
        return subject.equals(Subject.CONTROL_BYTES)
                ? SeriesTable.isTotalled(sample)
                : subject.equals(Subject.of(sample.conversation(), sample.figure()));
    }
}
