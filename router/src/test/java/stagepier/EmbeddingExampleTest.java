package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Compiles and runs the example of the README, and compares it with the text there. */
class EmbeddingExampleTest {
    private static final class Embedded implements Api.Host {
        private final RoutingPolicy policy;
        private final List<String> printed = new ArrayList<>();

        Embedded() {
            var lookups = new Api.RequestClass(Api.Repeat.SAFE, Api.Scope.CELL, 0, 0.3, 1.0, 1, 0, false);
            var settings = new Api.Settings(
                    1,
                    0,
                    List.of(lookups),
                    List.of(),
                    Api.WeightMeaning.SIZE,
                    Api.Fetching.THROUGH,
                    -1,
                    0.001,
                    1,
                    new Api.Limits(3, true, true, false, 0.5, 0.1),
                    new Api.Protection(1, 0.2, 20, 3, 2),
                    new Api.Prices(0, 0, 0),
                    Api.ReportLayout.NONE,
                    false);
            policy = new RoutingPolicy(settings, 42, this);
        }

        void start(double now) {
            policy.onMembers(
                    now,
                    true,
                    List.of(
                            new Api.Member(1, 0, 0, 0, Api.MemberState.READY, 4, 0),
                            new Api.Member(2, 0, 0, 0, Api.MemberState.READY, 4, 0)));
            policy.onRequest(now, new Api.Request(1001, 0, 0, 77, 1.0, 0, false, false));
        }

        @Override
        public void send(long request, long server, double timeout) {
            printed.add("send request " + request + " to server " + server + " for " + timeout + " s");
            // When the answer comes: policy.onOutcome(now, request, 0, server, Api.Outcome.OK, elapsed, true, ...)
        }

        @Override
        public void refuse(long request, double retryAfter) {
            printed.add("refuse request " + request + ", ask again after " + retryAfter + " s");
        }

        @Override
        public void fail(long request) {
            printed.add("fail request " + request);
        }

        @Override
        public void cancel(long request, int attempt) {}

        @Override
        public void setTimer(double delay, long token) {
            // After the delay: policy.onTimer(now, token)
        }

        @Override
        public void probe(long server) {}

        @Override
        public void closeIdle(long server) {}

        @Override
        public void watchMembers() {}

        @Override
        public void logMessage(String text) {}
    }

    @Test
    void exampleSendsItsRequest() {
        Embedded example = new Embedded();
        example.start(5);
        assertEquals(1, example.printed.size());
        assertTrue(example.printed.get(0).startsWith("send request 1001 to server "), example.printed.get(0));
    }

    /** Keeps the README in step with the interface: each of its statements must occur in this compiled copy. */
    @Test
    void readmeContainsTheStatementsOfThisExample() throws IOException {
        String readme = Files.readString(Path.of("../README.md"));
        String code = readme.substring(readme.indexOf("```java") + 7);
        code = code.substring(code.indexOf("Embedded() {"), code.indexOf("public static void main"));
        String source =
                withoutWhitespace(Files.readString(Path.of("src/test/java/stagepier/EmbeddingExampleTest.java")));
        for (String statement :
                code.replace("System.out.println(", "printed.add(").split(";")) {
            assertTrue(source.contains(withoutWhitespace(statement)), statement);
        }
    }

    private static String withoutWhitespace(String text) {
        return text.lines().map(String::strip).collect(Collectors.joining()).replaceAll("\\s", "");
    }
}
