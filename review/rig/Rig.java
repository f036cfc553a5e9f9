package rig;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** One play of a case: its temporary folder, its record, the router processes that it starts, and their end. */
final class Rig {
    /** The steps of a case. Returns the breaks of the rule that were seen, in words; empty if the rule held. */
    interface Case {
        List<String> play(Rig rig) throws Exception;
    }

    /** A case that could not be played. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CannotRun(String why) {
            super(why);
        }
    }

    /** A started router. */
    record Router(String name, Process process, int port, int consolePort, Path log) {}

    private static final int LIMIT_S = 110;
    private static final long START = System.nanoTime();

    final Path root;
    final Path folder;
    final Path temp;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, task -> {
        Thread t = new Thread(task, "timer");
        t.setDaemon(true);
        return t;
    });
    private final PrintWriter record;
    private final List<Router> routers = new ArrayList<>();

    private Rig(Path root, Path folder) throws IOException {
        this.root = root;
        this.folder = folder;
        temp = Files.createTempDirectory("stagepier-review-");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    }

    /** Plays a case and ends this process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void main(String[] args, Case steps) {
        int code = 2;
        Rig rig = null;
        try {
            rig = new Rig(Path.of(args[0]).toRealPath(), Path.of(args[1]).toRealPath());
            Rig started = rig;
            Runtime.getRuntime().addShutdownHook(new Thread(started::end));
            rig.timer.schedule(() -> started.giveUp("over " + LIMIT_S + " s"), LIMIT_S, TimeUnit.SECONDS);
            rig.note("play", "trouble=" + (rig.trouble ? 1 : 0));
            List<String> breaks = steps.play(rig);
            breaks.forEach(line -> started.note("BREAK", line));
            for (Router router : rig.routers) {
                if (!router.process().isAlive()) {
                    rig.note("router", router.name() + " has ended with " + router.process().exitValue());
                }
            }
            rig.note("verdict", breaks.isEmpty() ? "the rule held" : "the rule was broken " + breaks.size() + " times");
            System.out.println(breaks.isEmpty() ? "held" : "broken: " + breaks.size() + ", first: " + breaks.get(0));
            code = breaks.isEmpty() ? 0 : 1;
        } catch (Exception e) {
            System.out.println("could not run: " + e);
            if (rig != null) {
                rig.note("could not run", String.valueOf(e));
            }
            e.printStackTrace();
        }
        System.exit(code);
    }

    private void giveUp(String why) {
        note("could not run", why);
        System.out.println("could not run: " + why);
        end();
        Runtime.getRuntime().halt(2);
    }

    /** Ends all processes that were started and removes the temporary folder. */
    private synchronized void end() {
        for (Router router : routers) {
            router.process().destroyForcibly();
        }
        try {
            for (Router router : routers) {
                router.process().waitFor(5, TimeUnit.SECONDS);
            }
            try (Stream<Path> files = Files.walk(temp)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            }
        } catch (IOException | InterruptedException e) {
            System.err.println(e);
        }
        record.flush();
    }

    /** Seconds since the start of the play. */
    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static void sleep(double seconds) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, (long) (seconds * 1e9)));
    }

    void after(double seconds, Runnable task) {
        timer.schedule(task, (long) (seconds * 1e6), TimeUnit.MICROSECONDS);
    }

    /** Writes a line of the record. */
    void note(String who, String what) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%9.4f %-12s %s%n", now(), who, what);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            return socket.getLocalPort();
        }
    }

    /** The command of that name in the deploy file. */
    String command(String name) throws IOException, CannotRun {
        Matcher m = Pattern.compile("(?m)^" + name + " = \"(.*)\"\\s*$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!m.find()) {
            throw new CannotRun("deploy/balancer.toml has no " + name);
        }
        return m.group(1);
    }

    /** A router's configuration: the addresses, the limits of a small deployment, a list and settings. */
    String config(String name, int port, int discoveryPort, int sockets, String known, String settings) {
        return """
                {"name":"%s","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
                 "known":%s,
                 "settings":%s}
                """
                .formatted(name, port, discoveryPort, sockets, known, settings);
    }

    /** Starts a router with {@code run} of the deploy file, from the root of the repository. */
    Router start(String name, String config, int port, int consolePort, Path shared, boolean passed) throws Exception {
        if (!Files.exists(root.resolve("router/target/stagepier.jar"))) {
            throw new CannotRun("router/target/stagepier.jar is missing: run the deployment's build first");
        }
        Path file = temp.resolve(name + ".json");
        Files.writeString(file, config);
        Files.createDirectories(shared);
        Path log = temp.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command("run"))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        Map<String, String> environment = builder.environment();
        environment.put("GW_NAME", name);
        environment.put("GW_CONFIG", file.toString());
        environment.put("TMPDIR", shared.toString());
        if (consolePort > 0) {
            environment.put("GW_CONSOLE", "127.0.0.1:" + consolePort);
        }
        if (passed) {
            environment.put("GW_PASSED_SOCKET", "0");
            builder.redirectInput(ProcessBuilder.Redirect.INHERIT);
        }
        Process process = builder.start();
        Router router = new Router(name, process, port, consolePort, log);
        synchronized (this) {
            routers.add(router);
        }
        note("router", name + " started, pid " + process.pid());
        return router;
    }

    /** Waits until the router answers {@code mn} with {@code MN}. */
    void awaitReady(Router router) throws Exception {
        double until = now() + 30;
        while (now() < until) {
            if (!router.process().isAlive()) {
                throw new CannotRun("the router ended: " + Files.readString(router.log()));
            }
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", router.port()), 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.ISO_8859_1));
                byte[] answer = socket.getInputStream().readNBytes(4);
                if (new String(answer, StandardCharsets.ISO_8859_1).startsWith("MN")) {
                    note("router", router.name() + " is ready");
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
            sleep(0.05);
        }
        throw new CannotRun("the router was not ready within 30 s");
    }

    /** Copies the counters that a router prints on {@code stats} into the record. */
    void noteCounters(Router router, String... names) {
        Map<String, String> all = new LinkedHashMap<>();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", router.port()), 500);
            socket.setSoTimeout(2000);
            socket.getOutputStream().write("stats\r\nquit\r\n".getBytes(StandardCharsets.ISO_8859_1));
            String text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            for (String line : text.split("\r\n")) {
                String[] words = line.split(" ");
                if (words.length == 3) {
                    all.put(words[1], words[2]);
                }
            }
        } catch (IOException e) {
            note("counters", e.toString());
        }
        for (String name : names) {
            note("counters", name + "=" + all.get(name));
        }
    }

    /** Copies the first lines of a router's log that contain a word into the record, and counts all of them. */
    void noteLog(Router router, String word, int most) throws IOException {
        List<String> found = new ArrayList<>();
        for (String line : Files.readAllLines(router.log(), StandardCharsets.ISO_8859_1)) {
            if (line.contains(word)) {
                found.add(line);
            }
        }
        note("log", found.size() + " lines with '" + word + "'");
        found.stream().limit(most).forEach(line -> note("log", line));
    }

    /** Settings as the operators' page shows them, with the classes given. */
    static String settings(String classes, String extraLimits) {
        return """
                {"Areas":["cairo-nasr","giza-west","alex-east","assiut"],"Callers":{"MarksRetry":true},
                 "Classes":[%s],"CountedBy":"request","Discovery":"push","Family":"cache",
                 "FamilyInfo":{"Mode":"through","Ordered":true,"OriginFall":3.0,"OriginFallMultiple":3.0,"OriginKind":-1},
                 "Flavors":["std-3","slow-3"],
                 "Limits":{"Cancel":true,"CpuUsPerRequest":0.0,"CpuUsPerS":1000000,"DialTimeout":0.25,"IdleClose":60.0,
                  "MaxAttempts":3,"MaxOpen":25000,"MaxRetryAfter":1.2,"MayDuplicate":true,"Peers":false,"Probes":true,
                  "RetryAfter":true,"StreamsPerConn":100%s},
                 "Obligations":{"AskWithin":10.0,"Cold":8.9,"ColdFrom":0.3,"DrainGrace":1.0,"FallMultiple":4.0,
                  "GraceToAnswer":0.02,"TipAfter":1.0},
                 "OverShareWorth":0.1,"Period":0.005,
                 "Prices":{"Connection":0.03,"CrossZone":0.028,"Handshake":0.03,"LateFail":0.054,"Origin":0.05,
                  "Peer":0.01,"Probe":0.01,"Waste":0.015},
                 "Realms":[{"Name":"national-open","Portion":0.6,"QuotaPerS":400.0},{"Name":"cairo-clubs","Portion":0.4,"QuotaPerS":400.0}],
                 "Report":{"Fields":[],"How":"silent"},"Siblings":4,"SlotNo":0,"Tier":0,"Tiers":["league-cache"],
                 "WeightKind":"nominal","Zone":1}
                """
                .formatted(classes, extraLimits);
    }

    /** One class of the settings. */
    static String requestClass(String name, String repeat, double goal, double deadline, double window, double worth) {
        return """
                {"Deadline":%s,"DedupWindow":%s,"GoalTime":%s,"Group":"all","LateWorth":0.0,"Name":"%s","Repeat":"%s","Stream":false,"Worth":%s}"""
                .formatted(deadline, window, goal, name, repeat, worth);
    }
}
