package stagepier.freeze;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import stagepier.settings.SettingsException;

@Timeout(30)
class CalendarFileTest {
    private static final String ONE_WINDOW = """
            zone = "Africa/Cairo"
            [[window]]
            name = "final"
            start = 2026-12-05T18:00:00
            end = 2026-12-05T23:30:00
            scope = "all"
            reason = "cup final"
            """;
    private static final String RECURRING = """
            zone = "Africa/Cairo"
            [[window]]
            name = "friday"
            start = 2026-01-02T19:00:00
            rule = "FREQ=WEEKLY;BYDAY=FR"
            duration = "PT4H"
            scope = "zone:z1"
            reason = "league"
            """;

    private static List<String> spans(String text, String from, String to) {
        return CalendarFile.parse("c", text).spans(Instant.parse(from), Instant.parse(to)).stream()
                .map(s -> Instant.ofEpochMilli(s.startMs()) + " " + Instant.ofEpochMilli(s.endMs()))
                .toList();
    }

    @Test
    void aWindowIsInTheTimeZoneOfTheFile() {
        assertEquals(
                List.of("2026-12-05T16:00:00Z 2026-12-05T21:30:00Z"),
                spans(ONE_WINDOW, "2026-12-01T00:00:00Z", "2026-12-31T00:00:00Z"));
        assertEquals(List.of(), spans(ONE_WINDOW, "2026-12-06T00:00:00Z", "2026-12-31T00:00:00Z"));
        assertEquals(List.of(), CalendarFile.parse("c", "").windows());
    }

    @Test
    void aRuleRecursInLocalTimeAcrossDaylightSavingTransitions() {
        // Egypt has +02:00 in winter, and +03:00 in summer from the last Friday in April to the last Thursday in
        // October.
        assertEquals(
                List.of("2026-04-17T17:00:00Z 2026-04-17T21:00:00Z", "2026-04-24T16:00:00Z 2026-04-24T20:00:00Z"),
                spans(RECURRING, "2026-04-12T00:00:00Z", "2026-04-30T00:00:00Z"));
        assertEquals(
                List.of("2036-12-05T17:00:00Z 2036-12-05T21:00:00Z"),
                spans(RECURRING, "2036-12-05T00:00:00Z", "2036-12-06T00:00:00Z"));
        assertEquals(
                List.of("2026-01-02T17:00:00Z 2026-01-02T21:00:00Z"),
                spans(RECURRING, "2025-01-01T00:00:00Z", "2026-01-03T00:00:00Z"));
    }

    /** On 29 October 2026 the hour from 23:00 occurs twice in Cairo: first at +03:00, then at +02:00. */
    @Test
    void aRepeatedHourBeginsAtTheEarlierAndEndsAtTheLaterInstant() {
        String starts = ONE_WINDOW
                .replace("2026-12-05T18:00", "2026-10-29T23:15")
                .replace("2026-12-05T23:30", "2026-10-30T02:00");
        assertEquals(
                List.of("2026-10-29T20:15:00Z 2026-10-30T00:00:00Z"),
                spans(starts, "2026-10-01T00:00:00Z", "2026-11-30T00:00:00Z"));
        String ends = ONE_WINDOW
                .replace("2026-12-05T18:00", "2026-10-29T22:00")
                .replace("2026-12-05T23:30", "2026-10-29T23:30");
        assertEquals(
                List.of("2026-10-29T19:00:00Z 2026-10-29T21:30:00Z"),
                spans(ends, "2026-10-01T00:00:00Z", "2026-11-30T00:00:00Z"));
        String whole = ONE_WINDOW
                .replace("2026-12-05T18:00", "2026-10-29T23:30")
                .replace("2026-12-05T23:30", "2026-10-29T23:30");
        assertEquals(
                List.of("2026-10-29T20:30:00Z 2026-10-29T21:30:00Z"),
                spans(whole, "2026-10-01T00:00:00Z", "2026-11-30T00:00:00Z"));
    }

    /** On 24 April 2026 the hour from 00:00 does not exist in Cairo. */
    @Test
    void aSkippedHourBeginsAtTheEarlierAndEndsAtTheLaterInstant() {
        String both = ONE_WINDOW
                .replace("2026-12-05T18:00", "2026-04-24T00:30")
                .replace("2026-12-05T23:30", "2026-04-24T00:45");
        assertEquals(
                List.of("2026-04-23T21:30:00Z 2026-04-23T22:45:00Z"),
                spans(both, "2026-04-01T00:00:00Z", "2026-04-30T00:00:00Z"));
        String over = RECURRING.replace("2026-01-02T19", "2026-01-01T22").replace("=FR", "=TH");
        assertEquals(
                List.of("2026-04-23T20:00:00Z 2026-04-24T00:00:00Z"),
                spans(over, "2026-04-20T00:00:00Z", "2026-04-26T00:00:00Z"),
                "the full duration of four hours, although the local end time is 02:00");
    }

    @Test
    void theTextIsCanonicalAndParsesBack() {
        Windows windows = CalendarFile.parse("c", ONE_WINDOW + RECURRING.substring(RECURRING.indexOf('[')));
        Windows reordered =
                CalendarFile.parse("c", RECURRING + "# a note\n" + ONE_WINDOW.substring(ONE_WINDOW.indexOf('[')));
        assertEquals(windows.text(), reordered.text());
        assertEquals(windows.text(), Windows.read(windows.text()).text());
        assertEquals(2, windows.windows().size());
    }

    static Stream<String[]> invalidFiles() {
        return Stream.of(
                invalid("zone = \n", "line 1: key -:"),
                invalid("zon = \"UTC\"", "line 1: key zon: is unknown"),
                invalid("zone = 3", "line 1: key zone: has to be a text"),
                invalid("zone = \"Cairo\"", "line 1: key zone: 'Cairo' is no time zone"),
                invalid("zone = \"+02:00\"", "line 1: key zone: '+02:00' is no time zone"),
                invalid("zone = \"EST\"", "line 1: key zone: 'EST' is no time zone"),
                invalid("window = 3", "line 1: key window: has to be a list of tables"),
                invalid("window = [3]", "line 1: key window: has to be a list of tables"),
                invalid("[window]\nname = \"x\"", "line 1: key window: has to be a list of tables"),
                invalid(ONE_WINDOW.replace("name = \"final\"\n", ""), "line 3: key window[0].name: is missing"),
                invalid(ONE_WINDOW.replace("\"final\"", "\"\""), "line 3: key window[0].name: has to be letters"),
                invalid(ONE_WINDOW.replace("\"final\"", "\"a b\""), "line 3: key window[0].name: has to be letters"),
                invalid(ONE_WINDOW.replace("\"final\"", "7"), "line 3: key window[0].name: has to be a text"),
                invalid(
                        ONE_WINDOW + ONE_WINDOW.substring(ONE_WINDOW.indexOf('[')),
                        "line 9: key window[1].name: 'final' is the name of another"),
                invalid(ONE_WINDOW.substring(ONE_WINDOW.indexOf('[')), "line 2: key window[0].zone: is missing"),
                invalid(
                        ONE_WINDOW.replace("2026-12-05T18:00:00", "\"18:00\""),
                        "line 4: key window[0].start: has to be a local date"),
                invalid(
                        ONE_WINDOW.replace("2026-12-05T18:00:00", "2026-12-05T18:00:00Z"),
                        "line 4: key window[0].start: has to be a local"),
                invalid(
                        ONE_WINDOW.replace("2026-12-05T18:00:00", "2026-12-05"),
                        "line 4: key window[0].start: has to be a local"),
                invalid(ONE_WINDOW.replace("2026-12-05T18:00:00", "2026-13-05T18:00:00"), "line 4: key -:"),
                invalid(
                        ONE_WINDOW.replace("2026-12-05T18:00:00", "0026-12-05T18:00:00"),
                        "line 4: key window[0].start: the year 26"),
                invalid(
                        ONE_WINDOW.replace("2026-12-05T23:30", "2026-12-05T18:00"),
                        "line 5: key window[0].end: is not after start"),
                invalid(
                        ONE_WINDOW.replace("2026-12-05T23:30", "2026-12-04T23:30"),
                        "line 5: key window[0].end: is not after start"),
                invalid(
                        ONE_WINDOW.replace("2026-12-05T23:30", "2036-12-05T23:30"),
                        "line 5: key window[0].end: is more than 31 days"),
                invalid(ONE_WINDOW.replace("end = 2026-12-05T23:30:00\n", ""), "line 3: key window[0].end: is missing"),
                invalid(ONE_WINDOW.replace("\"all\"", "\"some\""), "line 6: key window[0].scope: 'some' is none of"),
                invalid(ONE_WINDOW.replace("\"all\"", "\"zone:\""), "line 6: key window[0].scope: 'zone:' is none of"),
                invalid(
                        ONE_WINDOW.replace("\"all\"", "\"kind:drain\""),
                        "line 6: key window[0].scope: 'kind:drain' is none of"),
                invalid(ONE_WINDOW.replace("scope = \"all\"\n", ""), "line 3: key window[0].scope: is missing"),
                invalid(ONE_WINDOW.replace("cup final", " "), "line 7: key window[0].reason: has to be one line"),
                invalid(ONE_WINDOW.replace("cup final", "a\\nb"), "line 7: key window[0].reason: has to be one line"),
                invalid(
                        ONE_WINDOW.replace("cup final", "x".repeat(201)),
                        "line 7: key window[0].reason: has to be one line"),
                invalid(ONE_WINDOW + "until = 3\n", "line 8: key window[0].until: is unknown"),
                invalid(
                        ONE_WINDOW + "duration = \"PT1H\"\n",
                        "line 8: key window[0].duration: is for windows with a rule"),
                invalid(RECURRING + "end = 2026-12-05T23:30:00\n", "line 9: key window[0].end: a window with a rule"),
                invalid(RECURRING.replace("PT4H", "4h"), "line 6: key window[0].duration: is no duration"),
                invalid(RECURRING.replace("PT4H", "PT0S"), "line 6: key window[0].duration: has to be from"),
                invalid(RECURRING.replace("PT4H", "P400D"), "line 6: key window[0].duration: has to be from"),
                invalid(RECURRING.replace("duration = \"PT4H\"\n", ""), "line 3: key window[0].duration: is missing"),
                invalid(
                        RECURRING.replace("FREQ=WEEKLY;BYDAY=FR", "weekly"),
                        "line 5: key window[0].rule: no recurrence rule"),
                invalid(
                        RECURRING.replace("WEEKLY;BYDAY=FR", "HOURLY"),
                        "line 5: key window[0].rule: comes more often than daily"),
                invalid(
                        RECURRING.replace("BYDAY=FR", "BYDAY=MO"),
                        "line 5: key window[0].rule: start is none of its times"),
                invalid(RECURRING.replace("BYDAY=FR", "BYHOUR=3"), "line 5: key window[0].rule: the time of day"),
                invalid(
                        RECURRING.replace("BYDAY=FR", "UNTIL=20261231T000000Z"),
                        "line 5: key window[0].rule: UNTIL has to be"),
                invalid(
                        RECURRING.replace("WEEKLY;BYDAY=FR", "YEARLY;BYMONTH=2;BYMONTHDAY=30"),
                        "line 5: key window[0].rule: start is none"),
                invalid("zone = \"UTC\"\n" + windows(65), "line 2: key window: 65 windows; at most 64"),
                invalid(
                        "zone = \"UTC\"\n" + windows(64).replace("reason = \"r", "reason = \"" + "r".repeat(150)),
                        "line 2: key window: more than 12 KB"));
    }

    private static String windows(int count) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < count; i++) {
            all.append("[[window]]\nname = \"w")
                    .append(i)
                    .append("\"\nstart = 2026-12-05T18:00:00\nend = 2026-12-05T19:00:00\n")
                    .append("scope = \"all\"\nreason = \"r\"\n");
        }
        return all.toString();
    }

    private static String[] invalid(String text, String message) {
        return new String[] {text, message};
    }

    @ParameterizedTest
    @MethodSource("invalidFiles")
    void anInvalidFileIsRejectedInOneLine(String text, String message) {
        String actual = assertThrows(SettingsException.class, () -> CalendarFile.parse("calendar.toml", text))
                .getMessage();
        assertTrue(actual.startsWith("calendar.toml: " + message), actual);
        assertEquals(1, actual.lines().count());
    }

    @Test
    void theFileInTheDeploymentIsValid() {
        assertEquals(
                2,
                CalendarFile.read(Path.of("..", "deploy", "calendar.toml"))
                        .windows()
                        .size());
    }

    @Test
    void aMissingFileIsRejected(@TempDir Path dir) throws java.io.IOException {
        assertThrows(SettingsException.class, () -> CalendarFile.read(dir.resolve("none.toml")));
        Path file = Files.writeString(dir.resolve("calendar.toml"), ONE_WINDOW);
        assertEquals(1, CalendarFile.read(file).windows().size());
    }

    @Test
    void aScopeCoversItsZoneOrKindAndChangesThatMayAffectAnyZone() {
        Change add = new Change(Change.Kind.ADD_SERVER, "s1", "z1");
        assertTrue(Scope.parse("zone:z1").covers(add));
        assertEquals(false, Scope.parse("zone:z2").covers(add));
        assertTrue(Scope.parse("zone:z2").covers(new Change(Change.Kind.MOVE_DISCOVERY, "", "")));
        assertTrue(Scope.parse("kind:add_server").covers(add));
        assertEquals(false, Scope.parse("kind:weight").covers(add));
    }
}
