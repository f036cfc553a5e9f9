package stagepier.lab.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Map;
import stagepier.lab.scenario.FleetScenario;
import stagepier.lab.scenario.Scenario;
import stagepier.lab.standin.Fleet;

/**
 * The operators' files of a fleet that decides together, a set for each router: what is between two routers differs by router.
 */
final class FleetFiles {
    private static final DateTimeFormatter LOCAL =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss").withZone(ZoneOffset.UTC);

    private final Scenario scenario;
    private final Path folder;

    FleetFiles(Scenario scenario, Path folder) {
        this.scenario = scenario;
        this.folder = folder.toAbsolutePath();
    }

    /** Writes those of one router, and tells what its process has to find in its environment. */
    Map<String, String> write(int router, Fleet doors) throws IOException {
        FleetScenario t = scenario.together();
        StringBuilder text = new StringBuilder("listen = \"127.0.0.1:%d\"%nlease_ms = %d%nskew_ms = %d%n"
                .formatted(doors.door(router, router), Math.round(t.lease() * 1e3), Math.round(t.skew() * 1e3)));
        if (t.hasCalendar()) {
            text.append("calendar = \"").append(calendar(router).getFileName()).append("\"\n");
            Files.writeString(calendar(router), t.calendar());
        }
        if (!t.candidate().isEmpty()) {
            candidate(router, t.candidate());
            text.append("candidate = \"candidate-%d.toml\"%n".formatted(router));
        }
        for (int other = 0; other < scenario.routers(); other++) {
            text.append("%n[[member]]%nname = \"n%d\"%naddress = \"127.0.0.1:%d\"%n"
                    .formatted(other, doors.door(router, other)));
        }
        Path file = Files.writeString(folder.resolve("fleet-" + router + ".toml"), text);
        return Map.of("GW_FLEET", file.toString());
    }

    /** Writes a router's candidate anew, for when it reads it next. */
    void candidate(int router, String text) throws IOException {
        Files.writeString(folder.resolve("candidate-" + router + ".toml"), text);
    }

    private Path calendar(int router) {
        return folder.resolve("calendar-" + router + ".toml");
    }

    /** Writes a router's calendar anew, for when it reads it next. */
    void propose(int router, List<FleetScenario.Window> windows, Instant startOfLoad) throws IOException {
        Files.writeString(calendar(router), text(windows, startOfLoad));
    }

    /** Windows begin and end at whole seconds: the first is rounded down, the last up. */
    static String text(List<FleetScenario.Window> windows, Instant startOfLoad) {
        StringBuilder text = new StringBuilder("zone = \"UTC\"\n");
        for (FleetScenario.Window w : windows) {
            text.append(
                    "%n[[window]]%nname = \"%s\"%nstart = %s%nend = %s%nscope = \"%s\"%nreason = \"played by the lab\"%n"
                            .formatted(
                                    w.name(), LOCAL.format(startOfLoad.plusMillis((long) (w.from() * 1e3))),
                                    LOCAL.format(startOfLoad.plusMillis((long) (w.until() * 1e3) + 999)), w.scope()));
        }
        return text.toString();
    }
}
