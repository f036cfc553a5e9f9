package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Prevents a rehearsal whose requests fail: the class archive would lack the classes of the request path. */
class RehearsalTest {
    @Test
    void servesAllItsRequests() throws Exception {
        assertEquals(600, Rehearsal.run());
    }
}
