package stagepier.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import stagepier.lab.ledger.Event;
import stagepier.lab.ledger.Event.End;
import stagepier.lab.ledger.Ledger;
import stagepier.lab.ledger.Violation;
import stagepier.lab.ledger.Violation.Rule;
import stagepier.lab.model.RequestKind;
import stagepier.lab.model.RequestKind.Repeat;

/** A router that breaks each rule once, on paper; each must be found, and what is in order must not. */
class LedgerTest {
    private static final List<RequestKind> KINDS =
            List.of(kind("safe", Repeat.SAFE), kind("keyed", Repeat.KEYED), kind("unsafe", Repeat.UNSAFE));
    private final List<Event> events = new ArrayList<>();

    private static RequestKind kind(String name, Repeat repeat) {
        return new RequestKind(name, 1, 0.5, 1, 1, 0.01, 0.01, repeat, 4, repeat != Repeat.SAFE);
    }

    private List<Rule> broken() {
        return new Ledger(KINDS, 1)
                .judge(events, 100).stream().map(Violation::rule).toList();
    }

    private void asked(double at, long request, int kind) {
        events.add(new Event.RequestSent(at, request, 0, kind, 7, 1));
    }

    private void ran(double at, long request, int node) {
        events.add(new Event.Arrived(at, at, request, 0, node, true));
    }

    private void ended(double at, long request, End end, long token) {
        events.add(new Event.Ended(at, request, end, token));
    }

    private void served(long request, int kind, double at) {
        asked(at, request, kind);
        ran(at + 0.01, request, 1);
        events.add(new Event.AnswerMade(at + 0.02, request, 1, request * 10));
        ended(at + 0.03, request, End.SERVED, request * 10);
    }

    @Test
    void whatIsInOrderBreaksNothing() {
        served(1, 0, 5);
        asked(6, 2, 0);
        ended(6.001, 2, End.REFUSED, 0);
        asked(7, 3, 1);
        ran(7.01, 3, 1);
        ran(9, 3, 2);
        ended(7.9, 3, End.FAILED, 0);
        // Open when the run ended.
        asked(99.9, 4, 0);
        // A process that was killed owes nothing.
        asked(20, 5, 0);
        events.add(new Event.Router(20.1, 0, false));
        ended(20.1, 5, End.CLOSED, 0);
        events.add(new Event.Router(22, 0, true));
        // Closed between requests, not read, not run.
        asked(30, 6, 0);
        ended(30.001, 6, End.CLOSED_IDLE, 0);
        events.add(new Event.Announced(40, 0, 3, false));
        ranFrom(40.9, 8);
        events.add(new Event.Announced(42, 0, 3, true));
        ranFrom(50, 9);
        events.add(new Event.Stopped(60, 0.2));
        assertEquals(List.of(), broken());
    }

    /** A request that is in order but for when and where it was sent. */
    private void ranFrom(double at, long request) {
        asked(at - 0.01, request, 0);
        ran(at, request, 3);
        ended(at + 0.1, request, End.FAILED, 0);
    }

    @Test
    void answersThatAreMissingLateDoubleOrUnasked() {
        asked(5, 1, 0);
        asked(6, 2, 0);
        ended(7.2, 2, End.REFUSED, 0);
        asked(8, 3, 0);
        ended(8.1, 3, End.REFUSED, 0);
        ended(8.2, 3, End.FAILED, 0);
        asked(9, 4, 0);
        ended(9.1, 4, End.CLOSED, 0);
        asked(10, 5, 0);
        ended(11.02, 5, End.UNANSWERED, 0);
        events.add(new Event.UnexpectedLine(12, 0, "VA 1 Oabc"));
        ran(13, 99, 1);
        // It was closed after it had been read and sent on.
        asked(14, 6, 0);
        ran(14.01, 6, 1);
        ended(14.02, 6, End.CLOSED_IDLE, 0);
        List<Rule> broken = broken();
        assertEquals(8, broken.size(), broken.toString());
        assertTrue(broken.stream().allMatch(r -> r == Rule.ONE_ANSWER), broken.toString());
    }

    @Test
    void aValueMadeForAnotherRequest() {
        served(1, 0, 5);
        served(2, 0, 5.001);
        asked(6, 3, 0);
        ran(6.01, 3, 1);
        ended(6.1, 3, End.SERVED, 10);
        assertEquals(List.of(Rule.MADE_FOR_IT), broken());
    }

    @Test
    void repeatsBeyondTheClass() {
        served(1, 2, 5);
        ran(5.5, 1, 2);
        served(2, 1, 10);
        ran(14.2, 2, 2);
        served(3, 0, 20);
        ran(25, 3, 2);
        assertEquals(List.of(Rule.REPEATS, Rule.REPEATS), broken());
    }

    @Test
    void workForANodeThatDrains() {
        events.add(new Event.Announced(5, 0, 3, false));
        events.add(new Event.Announced(5.5, 0, 3, false));
        ranFrom(6.2, 1);
        assertEquals(List.of(Rule.DRAINS), broken());
    }

    /** Who stands still owes no answers, but remembers what it was told: a send when it goes on is held against it. */
    @Test
    void aRouterThatStoodStill() {
        events.add(new Event.Stalled(5, 0, true));
        asked(6, 1, 0);
        events.add(new Event.Announced(6, 0, 3, false));
        events.add(new Event.Stalled(8, 0, false));
        ended(8.1, 1, End.UNANSWERED, 0);
        assertEquals(List.of(), broken());
        ranFrom(8.2, 2);
        assertEquals(List.of(Rule.DRAINS), broken());
    }

    /** What discovery says ends no ban; the word of staff at that router does. */
    @Test
    void workForANodeThatStaffTookOut() {
        events.add(new Event.OperatorChange(5, 0, 3, true));
        events.add(new Event.Announced(5.5, 0, 3, true));
        ranFrom(5.9, 1);
        assertEquals(List.of(), broken());
        ranFrom(6.2, 2);
        events.add(new Event.OperatorChange(7, 0, 3, false));
        ranFrom(9, 3);
        assertEquals(List.of(Rule.DRAINS), broken());
    }

    @Test
    void nodesAndAnOriginThatWerePushedOver() {
        events.add(new Event.NodeOverloaded(5, 3));
        events.add(new Event.Stopped(6, 0.31));
        assertEquals(List.of(Rule.COLD_NODES, Rule.ORIGIN), broken());
    }

    /** A shadow's copy answers to nobody; a drain holds for it as for all else. */
    @Test
    void aCopyIsNobodysRequestAndStillHeedsADrain() {
        long copy = Event.COPIES | 5;
        List<Event> events = new ArrayList<>(
                List.of(new Event.Arrived(1, 1, copy, 0, 0, true), new Event.AnswerMade(1.1, copy, 0, 7)));
        assertEquals(List.of(), new Ledger(KINDS, 1).judge(events, 20));
        events.add(new Event.Announced(2, 0, 0, false));
        events.add(new Event.Arrived(5, 5, copy, 0, 0, true));
        assertEquals(
                List.of(Rule.DRAINS),
                new Ledger(KINDS, 1)
                        .judge(events, 20).stream().map(Violation::rule).toList());
    }
}
