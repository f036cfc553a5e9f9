package stagepier.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import stagepier.Api;

class PeerViewTest {
    private final PeerView view = new PeerView();

    private static Api.News news(long server, int inFlight, boolean open) {
        return new Api.News(server, inFlight, open);
    }

    @Test
    void theLastWordOfEachCounts() {
        view.heard(10, 1, List.of(news(5, 3, false)));
        view.heard(10.1, 2, List.of(news(5, 2, true)));
        assertEquals(List.of(new Api.Elsewhere(5, 3, 2)), view.heard(10.2, 1, List.of(news(5, 1, true))));
        assertEquals(List.of(new Api.Elsewhere(5, 2, 1)), view.heard(10.3, 1, List.of()), "it has nothing there now");
    }

    /** Guards against a router that died and keeps servers busy, or suspect, with its last word. */
    @Test
    void aRouterThatFellSilentIsForgotten() {
        view.heard(10, 1, List.of(news(5, 90, true)));
        assertEquals(List.of(), view.heard(10.1 + PeerView.FORGOTTEN_AFTER, 2, List.of()));
    }
}
