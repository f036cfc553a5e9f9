package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a SIGHUP that does nothing, and nobody is told: a JVM leaves it ignored where its starter did, as by nohup. */
@Timeout(60)
class IgnoredSignalTest {
    /** How often the program says that SIGHUP is ignored; without a configuration it ends by itself. */
    private static int saysIgnored(String shell) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        "/bin/sh",
                        "-c",
                        shell + " exec \"$0\" -cp \"$1\" stagepier.app.Main serve",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        System.getProperty("java.class.path"))
                .redirectErrorStream(true)
                .start();
        String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(true, process.waitFor(30, TimeUnit.SECONDS));
        assertEquals(78, process.exitValue(), said);
        return said.split("SIGHUP is ignored", -1).length - 1;
    }

    @Test
    void itIsSaidWhereSighupIsIgnoredAndOnlyThere() throws IOException, InterruptedException {
        assertEquals(1, saysIgnored("trap '' HUP;"));
        assertEquals(0, saysIgnored(""));
    }
}
