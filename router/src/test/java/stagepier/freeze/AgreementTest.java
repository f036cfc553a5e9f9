package stagepier.freeze;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.fleet.FleetRpc;
import stagepier.fleet.Message;
import stagepier.fleet.VirtualWorld;

@Timeout(120)
class AgreementTest {
    private static final Instant START = Instant.parse("2026-12-02T18:00:00Z");
    private static final Windows OPEN = Calendars.window("past", START.minusSeconds(7200), START.minusSeconds(3600));
    private static final Windows FROZEN = Calendars.window("now", START.minusSeconds(60), START.plusSeconds(3600));

    static Duration ms(long n) {
        return Duration.ofMillis(n);
    }

    @Test
    void aRouterWithAnotherFleetListGetsNoReply() {
        try (VirtualFleet fleet = new VirtualFleet(2, 3, OPEN)) {
            fleet.startAll();
            assertTrue(fleet.world.runUntil(fleet::allAgree, ms(5000)), fleet::transcript);
            VirtualWorld.Node other = fleet.world.node("r002", Duration.ZERO);
            List<Boolean> complete = new ArrayList<>();
            other.start("asks", () -> {
                for (String hash : List.of("other", Windows.hash("r000\nr001\nr002"))) {
                    RegisterRequest request = new RegisterRequest(hash, "r002", 1, 0, 0, null, null, null, null);
                    try {
                        Message reply = fleet.net
                                .calls(other)
                                .call("r000", Message.of(RegisterRequest.CONFIRM, request), ms(500));
                        complete.add(reply.read(RegisterResponse.class).isComplete());
                    } catch (FleetRpc.NoReplyException | Message.MalformedException e) {
                        throw new IllegalStateException(e);
                    }
                }
            });
            fleet.world.run(ms(2000));
            assertEquals(List.of(false, true), complete);
        }
    }

    @Test
    void aStartingFleetIsFoundedAgreesAndAcceptsAProposal() {
        try (VirtualFleet fleet = new VirtualFleet(1, 14, OPEN)) {
            fleet.track(FROZEN);
            fleet.startAll();
            fleet.queryEvery(ms(100));
            assertTrue(fleet.world.runUntil(fleet::allAgree, ms(5000)), fleet::transcript);
            fleet.routers.get(5).propose(FROZEN);

            assertTrue(
                    fleet.world.runUntil(
                            () -> fleet.routers.stream().allMatch(r -> r.permit() == Calendar.Permit.FROZEN), ms(3000)),
                    fleet::transcript);
            fleet.world.run(ms(5000));
            assertEquals(List.of(), HistoryChecker.violations(fleet));
        }
    }
}
