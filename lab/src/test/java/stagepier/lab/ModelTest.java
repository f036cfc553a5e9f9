package stagepier.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import stagepier.lab.model.Arrivals;
import stagepier.lab.model.Arrivals.Demand;
import stagepier.lab.model.Arrivals.Shape;
import stagepier.lab.model.KeySource;
import stagepier.lab.model.NodeModel;
import stagepier.lab.model.OriginModel;
import stagepier.lab.model.OriginModel.Cause;
import stagepier.lab.model.PlannedRequest;
import stagepier.lab.model.Randoms;
import stagepier.lab.model.RequestKind;
import stagepier.lab.model.RequestKind.Repeat;

class ModelTest {
    private static final List<RequestKind> KINDS = List.of(
            new RequestKind("read", 3, 1, 1, 1, 0.01, 0.01, Repeat.SAFE, 0, false),
            new RequestKind("put", 1, 1, 1, 1, 0.01, 0.01, Repeat.KEYED, 4, true));

    private static Demand demand(Shape shape, double swing) {
        return new Demand(500, 40, shape, swing, 4, 0.5, 1000, 0.9, 0, 3);
    }

    @Test
    void oneSeedDrawsTheSameAndAnotherDoesNot() {
        List<PlannedRequest> plan = Arrivals.draw(new Randoms(7), demand(Shape.WAVE, 0.2), KINDS);
        assertEquals(plan, Arrivals.draw(new Randoms(7), demand(Shape.WAVE, 0.2), KINDS));
        assertNotEquals(plan, Arrivals.draw(new Randoms(8), demand(Shape.WAVE, 0.2), KINDS));
    }

    @Test
    void arrivalsHaveTheRateTheSharesAndTheShape() {
        List<PlannedRequest> plan = Arrivals.draw(new Randoms(7), demand(Shape.STEADY, 0), KINDS);
        assertEquals(20_000, plan.size(), 600);
        assertEquals(0.25, plan.stream().filter(p -> p.kind() == 1).count() / (double) plan.size(), 0.02);
        long first = plan.stream().filter(p -> p.router() == 0).count();
        long last = plan.stream().filter(p -> p.router() == 3).count();
        assertEquals(3.375, first / (double) last, 0.4);
        List<PlannedRequest> burst = Arrivals.draw(new Randoms(7), demand(Shape.BURST, 5), KINDS);
        assertEquals(
                2500, burst.stream().filter(p -> p.at() >= 10 && p.at() < 11).count(), 250);
        assertEquals(
                500, burst.stream().filter(p -> p.at() >= 12 && p.at() < 13).count(), 100);
    }

    @Test
    void popularityIsUnevenAndMovesOn() {
        KeySource still = new KeySource(new Randoms(1).of("k"), 1000, 1, 0);
        long top = new KeySource(new Randoms(1).of("k"), 1, 1, 0).next(0);
        int hits = 0;
        for (int i = 0; i < 10_000; i++) {
            hits += still.next(0) == top ? 1 : 0;
        }
        assertEquals(1336, hits, 150);
        KeySource drifting = new KeySource(new Randoms(1).of("k"), 1000, 1, 10);
        for (int i = 0; i < 5000; i++) {
            assertNotEquals(top, drifting.next(1));
        }
    }

    @Test
    void aNodeWorksOnItsCoresAndIsSlowWhileCold() {
        NodeModel node = new NodeModel(new NodeModel.Traits(2, 1, 3, 10, 0, 0.25, 8, 4, 1, 5, 100), 100);
        assertEquals(0.25, node.share(100));
        assertEquals(100.4, node.work(100, 0.1), 1e-9);
        assertEquals(100.4, node.work(100, 0.1), 1e-9);
        assertEquals(100.8, node.work(100, 0.1), 1e-9);
        assertEquals(200.1, node.work(200, 0.1), 1e-9);
        assertTrue(node.hold() && node.hold() && node.hold());
        assertFalse(node.hold(), "turned away when it holds its most");
        node.release();
        assertTrue(node.hold());
    }

    @Test
    void aColdNodeIsPushedOverAndAWarmOneIsNot() {
        NodeModel node = new NodeModel(new NodeModel.Traits(2, 1, 3, 10, 0, 0.25, 8, 4, 1, 5, 100), 100);
        // 0.5 core seconds a second, four times that within one second.
        for (int i = 0; i < 19; i++) {
            assertFalse(node.pushedOver(100.01, 0.1), "after " + i);
        }
        assertFalse(node.pushedOver(101.2, 0.1), "what lies back no longer counts");
        for (int i = 0; i < 50; i++) {
            assertFalse(node.pushedOver(150, 0.1));
        }
        NodeModel again = new NodeModel(node.traits(), 100);
        boolean fell = false;
        for (int i = 0; i < 30; i++) {
            fell |= again.pushedOver(100.01, 0.1);
        }
        assertTrue(fell);
    }

    @Test
    void aNodeForgetsWhatWasUsedLongestAgo() {
        NodeModel node = new NodeModel(new NodeModel.Traits(1, 1, 3, 10, 0, 1, 0, 4, 1, 5, 2), 0);
        node.keep(1, 5);
        node.keep(2, 6);
        assertEquals(5, node.copy(1));
        node.keep(3, 7);
        assertEquals(-1, node.copy(2));
        assertEquals(5, node.copy(1));
        node.drop(1);
        assertEquals(-1, node.copy(1));
    }

    @Test
    void theOriginQueuesTurnsAwayAndStops() {
        OriginModel origin = new OriginModel(new OriginModel.Traits(2, 0.1, 0.3, 3, 1, 4), new Randoms(1).of("o"));
        assertEquals(20, new OriginModel.Traits(2, 0.1, 0.3, 3, 1, 4).capacity(), 1e-9);
        int away = 0;
        for (int i = 0; i < 40; i++) {
            away += Double.isNaN(origin.fetch(10, i < 30 ? Cause.COLD_NODE : Cause.PLAIN_MISS)) ? 1 : 0;
        }
        assertTrue(away > 20, away + " turned away");
        assertEquals(0, origin.stops());
        for (int i = 0; i < 30; i++) {
            origin.fetch(10.5, Cause.PLAIN_MISS);
        }
        assertEquals(1, origin.stops());
        assertEquals(30 / 61.0, origin.coldPartAtStop(), 0.01);
        assertTrue(Double.isNaN(origin.fetch(14, Cause.WRITE)));
        assertTrue(origin.fetch(16, Cause.WRITE) > 16);
        assertEquals(30, origin.sent(Cause.COLD_NODE));
    }
}
