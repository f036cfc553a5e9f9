package stagepier.lab.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.DoubleStream;

/**
 * Sets the load reports of hollow routers beside those of real ones, each a list for each router, and tells in what
 * they part. The bounds are some four times the standard error of what is drawn at random, at 40 reports of three
 * routers and more.
 */
final class ReportComparison {
    /**
     * Parts by which both may differ: of reports a second, of bytes a report, and of the spacing that a tenth stays
     * below or above.
     */
    static final double COUNT_APART = 0.13;

    static final double BYTES_APART = 0.15;
    static final double SPACING_APART = 0.20;
    private static final double LOW = 0.1;
    private static final double HIGH = 0.9;

    private final Set<Integer> servers;
    private final List<String> found = new ArrayList<>();

    private ReportComparison(Set<Integer> servers) {
        this.servers = servers;
    }

    /**
     * Empty where they are of one kind.
     *
     * @param servers numbers of the cache servers that may be told of
     */
    static List<String> differences(List<List<SentReport>> real, List<List<SentReport>> hollow, Set<Integer> servers) {
        ReportComparison c = new ReportComparison(servers);
        c.compare("reports a second", COUNT_APART, rate(real), rate(hollow));
        c.compare("bytes a report", BYTES_APART, bytes(real), bytes(hollow));
        c.compare("spacing, lower tenth", SPACING_APART, spacing(real, LOW), spacing(hollow, LOW));
        c.compare("spacing, upper tenth", SPACING_APART, spacing(real, HIGH), spacing(hollow, HIGH));
        if (!versions(real).equals(versions(hollow))) {
            c.found.add("versions: real " + versions(real) + ", hollow " + versions(hollow));
        }
        real.forEach(of -> of.forEach(report -> c.checkForm("real", report)));
        hollow.forEach(of -> of.forEach(report -> c.checkForm("hollow", report)));
        return List.copyOf(c.found);
    }

    private void compare(String what, double apart, double real, double hollow) {
        if (!(Math.abs(hollow - real) <= apart * real)) {
            found.add("%s: real %.3f, hollow %.3f, more than %.2f apart".formatted(what, real, hollow, apart));
        }
    }

    private void checkForm(String whose, SentReport report) {
        List<ServerLoad> loads = report.loads();
        if (loads == null) {
            found.add(whose + ": length and count do not go together: " + Arrays.toString(report.bytes()));
            return;
        }
        Set<Integer> told = new HashSet<>();
        ServerLoad before = null;
        for (ServerLoad load : loads) {
            if (!servers.contains(load.server()) || !told.add(load.server())) {
                found.add(whose + ": tells of a server that is not on the list, or twice: " + load);
            }
            if (load.inFlight() == 0 && !load.circuitOpen()) {
                found.add(whose + ": has nothing to tell and tells it: " + load);
            }
            boolean inOrder = before == null
                    || before.circuitOpen() && !load.circuitOpen()
                    || before.circuitOpen() == load.circuitOpen() && before.inFlight() >= load.inFlight();
            if (!inOrder) {
                found.add(whose + ": " + before + " comes before " + load);
            }
            before = load;
        }
    }

    /** Of one router on the average. */
    private static double rate(List<List<SentReport>> routers) {
        return 1 / gaps(routers).average().orElse(Double.NaN);
    }

    private static double bytes(List<List<SentReport>> routers) {
        return routers.stream()
                .flatMap(List::stream)
                .mapToInt(r -> r.bytes().length)
                .average()
                .orElse(Double.NaN);
    }

    private static double spacing(List<List<SentReport>> routers, double part) {
        double[] sorted = gaps(routers).sorted().toArray();
        return sorted[(int) (part * sorted.length)];
    }

    private static DoubleStream gaps(List<List<SentReport>> routers) {
        List<Double> gaps = new ArrayList<>();
        for (List<SentReport> of : routers) {
            for (int i = 1; i < of.size(); i++) {
                gaps.add(of.get(i).at() - of.get(i - 1).at());
            }
        }
        return gaps.stream().mapToDouble(Double::doubleValue);
    }

    private static Set<Integer> versions(List<List<SentReport>> routers) {
        return routers.stream()
                .flatMap(List::stream)
                .map(SentReport::version)
                .collect(Collectors.toCollection(TreeSet::new));
    }
}
