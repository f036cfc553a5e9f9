package stagepier.lab.scale.saturation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import stagepier.lab.fleet.DeploymentCommand;
import stagepier.lab.scale.Figure;
import stagepier.lab.scale.Sample;

@Timeout(60)
class SaturationMeasurementTest {
    private static final SaturationSetting SETTING = new SaturationSetting(8, 100, 1, 10, 3);
    private static final long ENOUGH_REQUESTS = 2000;

    @TempDir
    private Path folder;

    private static SaturationMeasurement.Reading reading(
            double at, long answered, long notAnswered, double processor, double eventLoop) {
        return new SaturationMeasurement.Reading(
                at,
                new ClosedLoopClients.Ended(answered, answered * 100, notAnswered),
                processor,
                Map.of(
                        "1 VM Thread",
                        eventLoop / 10,
                        "2 multiThreadIoEv",
                        eventLoop,
                        "3 C1 CompilerThre",
                        eventLoop / 2));
    }

    @Test
    void ratesAreOfTheSpanAlone() {
        SaturationMeasurement.Outcome outcome =
                SaturationMeasurement.outcome(SETTING, reading(5, 1000, 10, 3, 2), reading(15, 81_000, 30, 19, 12), 0);
        assertEquals(List.of(), outcome.invalid());
        Map<Figure, Double> values =
                outcome.samples().stream().collect(Collectors.toMap(Sample::figure, Sample::value));
        assertEquals(8000, values.get(Figure.REQUESTS_ANSWERED));
        assertEquals(5000, values.get(Figure.REQUESTS_ANSWERED_PER_CORE));
        assertEquals(800_000, values.get(Figure.VALUE_BYTES_ANSWERED));
        assertEquals(500_000, values.get(Figure.VALUE_BYTES_ANSWERED_PER_CORE));
        assertEquals(2, values.get(Figure.REQUESTS_NOT_ANSWERED));
        assertEquals(1.6, values.get(Figure.PROCESSOR));
        assertEquals(1.1, values.get(Figure.EVENT_LOOP), 1e-9);
    }

    @Test
    void aRouterThatWaitedForTheLaboratoryShowsNothing() {
        SaturationMeasurement.Outcome outcome =
                SaturationMeasurement.outcome(SETTING, reading(5, 1000, 0, 3, 2), reading(15, 81_000, 0, 19, 10.5), 0);
        assertEquals(List.of(), outcome.samples());
        assertEquals(
                List.of(
                        "8 connections, 100 bytes, seed 3: the event loop and the collector of the router took 0.935 cores,"
                                + " not 0.95"),
                outcome.invalid());
    }

    @Test
    void connectionsThatEndAreNotPassedOver() {
        SaturationMeasurement.Outcome outcome =
                SaturationMeasurement.outcome(SETTING, reading(5, 1000, 0, 3, 2), reading(15, 81_000, 0, 19, 12), 2);
        assertEquals(List.of(), outcome.samples());
        assertEquals(List.of("8 connections, 100 bytes, seed 3: 2 connections of clients ended"), outcome.invalid());
    }

    /** A real router answers each client again and again, with the whole value, and closes none of their connections. */
    @Test
    void aRealRouterIsAskedAgainAfterEachAnswer() throws Exception {
        try (SaturatedRouter router = new SaturatedRouter(SETTING, DeploymentCommand.read(Path.of("..")), folder)) {
            router.start(SETTING.connections());
            while (router.clients().ended().answered() < ENOUGH_REQUESTS) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
            ClosedLoopClients.Ended ended = router.clients().ended();
            assertTrue(
                    Math.abs(ended.valueBytes() - 100 * ended.answered()) <= 100 * SETTING.connections(), "" + ended);
            assertEquals(0, router.clients().lost());
        }
    }
}
