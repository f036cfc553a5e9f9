package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** A rehearsal in which nothing is served would leave out of the archive what a router needs most. */
class RehearsalTest {
    @Test
    void allThatItAsksForIsServed() throws Exception {
        assertEquals(600, Rehearsal.run());
    }
}
