package stagepier.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the order in which long commands get memory, and the limit of what they get together. */
class InputAdmissionTest {
    private final InputAdmission admission = new InputAdmission(1000);
    private final List<Integer> admitted = new ArrayList<>();

    private InputAdmission.Claim claim(int number, int bytes, boolean owed) {
        InputAdmission.Claim claim = admission.open(() -> admitted.add(number));
        claim.request(bytes, owed);
        return claim;
    }

    @Test
    void claimsBeyondTheLimitWaitInTheirOrder() {
        InputAdmission.Claim first = claim(1, 600, false);
        InputAdmission.Claim second = claim(2, 600, false);
        InputAdmission.Claim third = claim(3, 100, false);
        assertTrue(first.isAdmitted() && second.isWaiting() && third.isWaiting(), "a later claim goes before");
        first.release();
        assertEquals(List.of(2, 3), admitted);
        assertEquals(0, admission.waiting());
    }

    @Test
    void singleClaimIsAdmittedWhateverItsSize() {
        assertTrue(claim(1, 5000, true).isAdmitted());
        assertTrue(claim(2, 1, false).isWaiting());
    }

    @Test
    void linksThatAreOwedAnswersUseHalfAndHoldUpNobody() {
        InputAdmission.Claim first = claim(1, 400, false);
        InputAdmission.Claim owed = claim(2, 200, true);
        assertTrue(owed.isWaiting());
        assertTrue(claim(3, 600, false).isAdmitted());
        first.release();
        assertTrue(owed.isWaiting());
        assertTrue(claim(4, 400, false).isAdmitted());
    }

    @Test
    void claimOfALinkThatIsNoLongerOwedAnswersIsAdmitted() {
        claim(1, 600, false);
        InputAdmission.Claim owed = claim(2, 200, true);
        owed.request(200, false);
        assertTrue(owed.isAdmitted());
    }

    @Test
    void releasedClaimThatWaitsIsNeverAdmitted() {
        InputAdmission.Claim first = claim(1, 1000, false);
        InputAdmission.Claim gone = claim(2, 10, false);
        gone.release();
        first.release();
        first.release();
        assertFalse(gone.isAdmitted());
        assertEquals(List.of(), admitted);
        assertTrue(claim(3, 1000, false).isAdmitted());
    }
}
