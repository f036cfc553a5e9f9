package stagepier.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import stagepier.lab.scale.Conversation;
import stagepier.lab.scale.Figure;
import stagepier.lab.scale.Sample;
import stagepier.lab.scale.ScaleResults;

/** What counts as growth with the fleet, on made-up results. */
class GrowthCheckTest {
    private static final int FEW = 50;
    private static final int ALL = 1900;

    private final List<Sample> samples = new ArrayList<>();

    private void add(Conversation conversation, Figure figure, double atFew, double atAll) {
        samples.add(new Sample(conversation, figure, FEW, 1, atFew));
        samples.add(new Sample(conversation, figure, ALL, 1, atAll));
    }

    private List<String> faults(String... invalid) {
        return GrowthCheck.faults(new ScaleResults("command", 1, samples, List.of(invalid)));
    }

    @Test
    void whatStaysWithinABoundIsNoFault() {
        add(Conversation.LOAD_REPORTS, Figure.BYTES_IN, 5900, 5960);
        add(Conversation.LOAD_REPORTS, Figure.BYTES_OUT, 250, 7);
        add(Conversation.DISCOVERY, Figure.BYTES_IN, 60, 130);
        add(Conversation.DISCOVERY, Figure.BYTES_OUT, 60, 130);
        add(Conversation.CONTROL_PROCESS, Figure.DESCRIPTORS, 28, 28);
        add(Conversation.CONTROL_PROCESS, Figure.THREADS, 14, 15);
        assertEquals(List.of(), faults());
    }

    @Test
    void bytesThatGrowAreAFaultThoughWithinTheBudget() {
        add(Conversation.LOAD_REPORTS, Figure.BYTES_IN, 2000, 2700);
        assertEquals(
                1,
                faults().stream()
                        .filter(f -> f.startsWith("LOAD_REPORTS BYTES_IN grows"))
                        .count());
    }

    @Test
    void oneConversationAloneMayPassTheBudget() {
        add(Conversation.LOAD_REPORTS, Figure.BYTES_IN, 7100, 7100);
        assertTrue(
                faults().contains(
                                "LOAD_REPORTS BYTES_IN passes its budget: 7.10 KB/s at 1900 routers, 7 KB/s at the most"),
                faults().toString());
    }

    @Test
    void allConversationsTogetherMayPassTheBudget() {
        add(Conversation.LOAD_REPORTS, Figure.BYTES_IN, 6500, 6500);
        add(Conversation.DISCOVERY, Figure.BYTES_IN, 600, 600);
        assertEquals(
                List.of("ALL_CONTROL BYTES_IN_AND_OUT"),
                faults().stream().map(f -> f.substring(0, f.indexOf(" passes"))).toList());
    }

    @Test
    void threadsAndDescriptorsMayNotGrow() {
        add(Conversation.CONTROL_PROCESS, Figure.DESCRIPTORS, 20, 27);
        add(Conversation.CONTROL_PROCESS, Figure.THREADS, 14, 18);
        assertEquals(2, faults().size(), faults().toString());
    }

    @Test
    void descriptorsMayPassTheirBudgetWithoutGrowth() {
        add(Conversation.CONTROL_PROCESS, Figure.DESCRIPTORS, 33, 33);
        assertEquals(1, faults().size(), faults().toString());
    }

    @Test
    void whatAProcessUsesUnderLoadIsNotControl() {
        add(Conversation.PROCESS, Figure.DESCRIPTORS, 30, 280);
        assertEquals(List.of(), faults());
    }

    @Test
    void aRunThatWasNotValidIsAFault() {
        add(Conversation.CONTROL_PROCESS, Figure.THREADS, 14, 14);
        assertEquals(List.of("was late"), faults("was late"));
    }
}
