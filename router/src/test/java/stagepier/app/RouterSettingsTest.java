package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A router applies its own settings only, independent of the settings with which its class archive was recorded. */
@Timeout(90)
class RouterSettingsTest {
    /** Shares no name with the settings of the rehearsal, and has other effects. */
    private static final String SETTINGS = """
            {"Classes":[{"Name":"article","Deadline":0.5,"GoalTime":0.3,"Repeat":"at_most_once"},
            {"Name":"article-list","Deadline":3,"GoalTime":2,"Repeat":"deduplicated","Group":"zone","DedupWindow":0.7}],
            "Realms":[{"Name":"bank","Portion":1,"QuotaPerS":900}],"Areas":["oslo"],"Flavors":["blade"],
            "Limits":{"MaxAttempts":2,"MaxRetryAfter":1.2,"DialTimeout":0.25,"IdleClose":20},"Obligations":{"DrainGrace":0.4}}""";

    private static final String CONFIG = """
            {"listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"1","settings":%s,"limits":{"sockets":128},"known":%s}""";

    @TempDir
    private Path folder;

    private final ServerSocket cache = listen();
    private final StandInAgent discovery = agent();
    private Process router;

    private static ServerSocket listen() {
        try {
            return Rehearsal.listen();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static StandInAgent agent() {
        try {
            return new StandInAgent();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @AfterEach
    void stop() throws IOException {
        if (router != null) {
            router.destroyForcibly();
        }
        cache.close();
        discovery.close();
    }

    private static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    /** Returns the class path with the router's classes in a jar: the JVM archives no classes from a folder. */
    private String classPath() throws IOException {
        Path jar = folder.resolve("own.jar");
        Path classes = Path.of("target/classes");
        try (JarOutputStream out = new JarOutputStream(Files.newOutputStream(jar));
                Stream<Path> files = Files.walk(classes)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                out.putNextEntry(new JarEntry(classes.relativize(file).toString()));
                out.write(Files.readAllBytes(file));
            }
        }
        List<String> all = new ArrayList<>(List.of(jar.toString()));
        Stream.of(System.getProperty("java.class.path").split(File.pathSeparator))
                .filter(p -> p.endsWith(".jar"))
                .forEach(all::add);
        return String.join(File.pathSeparator, all);
    }

    private String config(int port, String settings) {
        String known = StandInAgent.known(StandInAgent.entry(1, cache.getLocalPort(), "up"));
        return CONFIG.formatted(port, discovery.port(), settings, known);
    }

    private Process launch(String config, String... command) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GW_CONFIG", file.toString());
        return builder.redirectError(folder.resolve("log").toFile())
                .redirectOutput(folder.resolve("out").toFile())
                .start();
    }

    private String log() throws IOException {
        return Files.readString(folder.resolve("log")) + Files.readString(folder.resolve("out"));
    }

    private Socket connect(int port) throws Exception {
        while (true) {
            try {
                Socket socket = new Socket(java.net.InetAddress.getLoopbackAddress(), port);
                socket.setSoTimeout(RouterProcess.WAIT_MS);
                return socket;
            } catch (IOException e) {
                assertTrue(router.isAlive(), log());
                Thread.sleep(20);
            }
        }
    }

    @Test
    void routerStartedFromArchiveAppliesOnlyItsOwnSettings() throws Exception {
        String classPath = classPath();
        Path archive = folder.resolve("recorded.jsa");
        Process rehearsal = launch(
                "",
                java(),
                "-XX:ArchiveClassesAtExit=" + archive,
                "-XX:+UseSerialGC",
                "-Xlog:disable",
                "-Xlog:all=error:stderr",
                "-cp",
                classPath,
                "stagepier.app.Main",
                "rehearse");
        assertTrue(rehearsal.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, rehearsal.exitValue(), log());
        int port = Rehearsal.freePort();
        // Not 'auto': with it a router that cannot use the archive would start without it.
        router = launch(
                config(port, SETTINGS),
                java(),
                "-Xshare:on",
                "-XX:SharedArchiveFile=" + archive,
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                classPath,
                "stagepier.app.Main",
                "serve");
        try (Socket client = connect(port)) {
            BufferedReader answers = Rehearsal.reader(client);
            for (String recorded : List.of("read", "put", "t")) {
                Rehearsal.write(client, "mg k1 v O" + recorded + " Pc=" + recorded + ",d=400\r\n");
                assertEquals("CLIENT_ERROR unknown class", answers.readLine(), recorded);
            }
            Rehearsal.write(client, "mg k1 v Oa Pc=article,t=bank,d=400\r\n");
            try (Socket link = cache.accept()) {
                assertTrue(Rehearsal.reader(link).readLine().startsWith("mg k1 v Oa Pc=article,t=bank,d="));
                Rehearsal.write(link, "VA 2 Oa h1\r\nhi\r\n");
                assertEquals("VA 2 Oa", answers.readLine());
                assertEquals("hi", answers.readLine());
            }
            assertFalse(log().contains("Exception"), log());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "null",
                "[]",
                "{}",
                "{\"Classes\":[]}",
                "{\"Classes\":[{\"Name\":\"a\",\"Deadline\":1}]}",
                "{\"Classes\":[{\"Name\":\"a\",\"Deadline\":1,\"Repeat\":\"safe\"}]}",
                "{\"Classes\":[7]}",
                "{\"Classes\":[{\"Name\":\"a\",\"Deadline\":\"5\\n s\",\"Repeat\":\"idempotent\"}]}",
                "{\"Classes\":[{\"Name\":[],\"Deadline\":1,\"Repeat\":\"idempotent\"}]}"
            })
    void invalidSettingsAbortStartWithOneLine(String settings) throws Exception {
        router = launch(
                config(Rehearsal.freePort(), settings),
                java(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "stagepier.app.Main",
                "serve");
        assertTrue(router.waitFor(30, TimeUnit.SECONDS));
        assertEquals(78, router.exitValue(), log());
        assertEquals(1, log().lines().count(), log());
        assertTrue(log().startsWith("stagepier: configuration: settings: "), log());
    }

    /** Unknown names are refused in one line and the link stays open; an unknown tenant is served without a share. */
    @Test
    void requestWithUnknownNamesOrUnitsIsRefusedInOneLine() throws Exception {
        int port = Rehearsal.freePort();
        router = launch(
                config(port, SETTINGS),
                java(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "stagepier.app.Main",
                "serve");
        try (Socket client = connect(port)) {
            BufferedReader answers = Rehearsal.reader(client);
            for (String unknown :
                    List.of("c=articles", "c=artic", "c=", "c=article-list-full", "t=bank", "c=Article")) {
                Rehearsal.write(client, "mg k1 v Oa P" + unknown + ",d=400\r\n");
                assertEquals("CLIENT_ERROR unknown class", answers.readLine(), unknown);
            }
            for (String time : List.of("0.4s", "400ms", "-400", "", "4e2", "x")) {
                Rehearsal.write(client, "mg k1 v Oa Pc=article,d=" + time + "\r\n");
                assertEquals("CLIENT_ERROR bad time", answers.readLine(), time);
            }
            Rehearsal.write(client, "mg k1 v Ob Pc=article-list,t=nobody,d=2900\r\n");
            try (Socket link = cache.accept()) {
                assertTrue(Rehearsal.reader(link).readLine().startsWith("mg k1 v Ob Pc=article-list,t=nobody,d="));
                Rehearsal.write(link, "VA 1 Ob h1\r\n1\r\n");
                assertEquals("VA 1 Ob", answers.readLine());
                assertEquals("1", answers.readLine());
            }
            assertFalse(log().contains("Exception"), log());
        }
    }
}
