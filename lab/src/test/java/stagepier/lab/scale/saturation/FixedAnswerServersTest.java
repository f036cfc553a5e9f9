package stagepier.lab.scale.saturation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class FixedAnswerServersTest {
    @Test
    void theNumberOfACommandIsFoundWhereverItStands() {
        assertEquals("O1f", FixedAnswerServers.opaque("mg 00ff v O1f Pc=read"));
        assertEquals("O1f", FixedAnswerServers.opaque("mg 00ff v O1f"));
        assertEquals("", FixedAnswerServers.opaque("mg 00ff v"));
    }
}
