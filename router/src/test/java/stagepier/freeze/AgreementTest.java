package stagepier.freeze;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(120)
class AgreementTest {
    private static final Instant START = Instant.parse("2026-12-02T18:00:00Z");
    private static final Windows OPEN = Calendars.window("past", START.minusSeconds(7200), START.minusSeconds(3600));
    private static final Windows FROZEN = Calendars.window("now", START.minusSeconds(60), START.plusSeconds(3600));

    static Duration ms(long n) {
        return Duration.ofMillis(n);
    }

    @Test
    void aFleetThatStartsIsFoundedAndAgreesAndTakesAProposal() {
        try (VirtualFleet fleet = new VirtualFleet(1, 14, OPEN)) {
            fleet.known(FROZEN);
            fleet.startAll();
            fleet.askEach(ms(100));
            assertTrue(fleet.world.runUntil(fleet::agree, ms(5000)), fleet::story);
            fleet.routers.get(5).propose(FROZEN);

            assertTrue(fleet.world.runUntil(() -> fleet.routers.stream().allMatch(r -> r.permit() == Calendar.Permit.FROZEN),
                    ms(3000)), fleet::story);
            fleet.world.run(ms(5000));
            assertEquals(List.of(), Judge.breaches(fleet));

        }
    }
}
