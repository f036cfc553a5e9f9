package stagepier.lab.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.jar.JarFile;

/** The command of a router that writes its history: the same program, with another logging library beside it. */
final class HistoryCommand {
    private static final String CONFIGURATION = "history-logback.xml";

    private HistoryCommand() {}

    /** Where a router's history is, a JSON object a line. */
    static Path file(Path folder, int router) {
        return folder.resolve("history-" + router + ".jsonl").toAbsolutePath();
    }

    /**
     * @param command     starts a router, by {@code -jar} or {@code -cp}
     * @param clockOffset milliseconds by which its wall clock is off
     */
    static List<String> of(List<String> command, int router, Path folder, int clockOffset) throws IOException {
        List<String> all = new ArrayList<>(command);
        int jar = all.indexOf("-jar");
        int path = jar >= 0 ? jar : Math.max(all.indexOf("-cp"), all.indexOf("-classpath"));
        if (path < 0 || path + 1 >= all.size()) {
            throw new IOException("the command of a router names neither a jar nor a class path: " + command);
        }
        // The router's own jar stays first, so that its archive of classes still fits.
        String program = all.get(path + 1);
        all.set(path + 1, program + ":" + library().resolve("*"));
        if (jar >= 0) {
            all.set(path, "-cp");
            all.add(path + 2, main(program));
        }
        all.addAll(
                1,
                List.of(
                        "-Dslf4j.provider=ch.qos.logback.classic.spi.LogbackServiceProvider",
                        "-Dlogback.configurationFile=" + configuration(folder),
                        "-Dstagepier.history=" + file(folder, router),
                        "-Dstagepier.clock.offset.ms=" + clockOffset));
        return all;
    }

    private static String main(String jar) throws IOException {
        try (JarFile file = new JarFile(jar)) {
            String main = file.getManifest().getMainAttributes().getValue("Main-Class");
            if (main == null) {
                throw new IOException(jar + " names no main class");
            }
            return main;
        }
    }

    /** The build puts the library beside the lab's own classes. */
    private static Path library() throws IOException {
        try {
            Path here = Path.of(HistoryCommand.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            Path library = here.resolveSibling("history");
            if (!Files.isDirectory(library)) {
                throw new IOException("no logging library at " + library + "; build the lab first");
            }
            return library;
        } catch (URISyntaxException e) {
            throw new IOException(e);
        }
    }

    private static Path configuration(Path folder) throws IOException {
        Path file = folder.resolve(CONFIGURATION).toAbsolutePath();
        if (Files.exists(file)) {
            // The first router may be reading it already.
            return file;
        }
        try (InputStream in = HistoryCommand.class.getResourceAsStream("/" + CONFIGURATION)) {
            Files.write(file, in.readAllBytes());
        }
        return file;
    }
}
