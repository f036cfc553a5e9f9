package stagepier.lab.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** The command with which a deployment runs a router, so that what is measured has its very options. */
public final class DeploymentCommand {
    private static final String FILE = "deploy/balancer.toml";
    private static final String KEY = "run";
    private static final String SHELL_WORD = "exec";
    private static final String JAVA = "java";
    private static final String ARCHIVE_OPTION = "-XX:SharedArchiveFile=";

    private DeploymentCommand() {}

    /**
     * Reads it from the deployment's file; its paths are taken to begin at the project's root.
     *
     * @throws IOException where there is no such file, or it does not run a router that has been built
     */
    public static List<String> read(Path root) throws IOException {
        Path file = root.resolve(FILE);
        TomlParseResult toml = Toml.parse(Files.readString(file));
        String run = toml.hasErrors() ? null : toml.getString(KEY);
        if (run == null) {
            throw new IOException(file + ": no command under '" + KEY + "'");
        }
        List<String> command = new ArrayList<>(List.of(run.trim().split("\\s+")));
        command.remove(SHELL_WORD);
        if (!command.get(0).equals(JAVA)) {
            throw new IOException(file + ": '" + KEY + "' does not start java");
        }
        command.set(0, RouterProcess.java());
        command.replaceAll(word -> word.startsWith(ARCHIVE_OPTION)
                ? ARCHIVE_OPTION
                        + root.resolve(word.substring(ARCHIVE_OPTION.length())).toAbsolutePath()
                : word);
        int jar = command.indexOf("-jar") + 1;
        Path built = root.resolve(command.get(jar)).toAbsolutePath().normalize();
        if (!Files.isReadable(built)) {
            throw new IOException("no router at " + built + "; build it first");
        }
        command.set(jar, built.toString());
        return List.copyOf(command);
    }
}
