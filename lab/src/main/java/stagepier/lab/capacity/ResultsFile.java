package stagepier.lab.capacity;

import java.util.List;
import stagepier.lab.scale.Sample;

/**
 * The results of scale runs as a file holds them.
 *
 * @param name    the file, as errors and pages name it
 * @param command the command line that gave them
 * @param cores   of the machine
 * @param invalid what runs say that did not keep their own pace; empty where all did
 */
public record ResultsFile(String name, String command, int cores, List<Sample> samples, List<String> invalid) {}
