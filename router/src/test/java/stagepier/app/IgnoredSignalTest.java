package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A JVM keeps SIGHUP ignored if its parent process ignored it, for example under nohup; the router must log that. */
@Timeout(60)
class IgnoredSignalTest {
    /** Returns how often the router logs that SIGHUP is ignored; without a configuration it exits by itself. */
    private static int countWarnings(String shell) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        "/bin/sh",
                        "-c",
                        shell + " exec \"$0\" -cp \"$1\" stagepier.app.Main serve",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        System.getProperty("java.class.path"))
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(true, process.waitFor(30, TimeUnit.SECONDS));
        assertEquals(78, process.exitValue(), output);
        return output.split("SIGHUP is ignored", -1).length - 1;
    }

    @Test
    void warningIsLoggedOnlyIfSighupIsIgnored() throws IOException, InterruptedException {
        assertEquals(1, countWarnings("trap '' HUP;"));
        assertEquals(0, countWarnings(""));
    }
}
