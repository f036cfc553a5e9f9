package stagepier.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.Api;

/**
 * Load reports over sockets: the values that the module receives, and that a malformed report changes nothing but a
 * counter.
 */
@Timeout(30)
class LoadReportTest extends OneServerFixture {
    private PoolFixture.CacheConnection connection;

    @BeforeEach
    void readReports() {
        fixture.pools.readReports(List.of("inflight", "queue", "x1"));
    }

    /** The end of an attempt whose answer is the given line with the id inserted. */
    private PoolFixture.AttemptEnd answered(String id, String line) throws Exception {
        fixture.submit(id);
        connection = connection == null ? cache.accept() : connection;
        assertEquals(id, connection.nextId());
        connection.write(line.formatted(id) + "\r\n");
        return fixture.nextEnd();
    }

    @Test
    void moduleReceivesTheReportOfEachKindOfAnswer() throws Exception {
        PoolFixture.AttemptEnd served = answered("a", "HD O%s c1 Lqueue=2,inflight=7,x1=0");
        assertEquals(Api.Outcome.OK, served.outcome());
        assertEquals(List.of(7f, 2f, 0f), served.report());
        PoolFixture.AttemptEnd failed = answered("b", "SERVER_ERROR failed Linflight=8,queue=3,x1=1");
        assertEquals(Api.Outcome.ERROR, failed.outcome());
        assertEquals(List.of(8f, 3f, 1f), failed.report());
        // A refusal right after an answer without request id could be a duplicate of that answer.
        fixture.advance(1);
        PoolFixture.AttemptEnd full = answered("c", "SERVER_ERROR busy Linflight=9,queue=4,x1=1");
        assertEquals(Api.Outcome.FULL, full.outcome());
        assertEquals(List.of(9f, 4f, 1f), full.report());
        assertEquals(3, fixture.counter("server_reports"));
        assertEquals(0, fixture.counter("server_reports_malformed"));
    }

    @Test
    void malformedReportIsCountedAndItsAnswerIsAcceptedOnTheSameConnection() throws Exception {
        for (String report : List.of("L", "Linflight=x,queue=1,x1=1", "Linflight=1,queue=1", "Lqueue==1")) {
            PoolFixture.AttemptEnd end = answered(Integer.toHexString(report.hashCode()), "HD O%s c1 " + report);
            assertEquals(Api.Outcome.OK, end.outcome(), report);
            assertEquals(List.of(), end.report(), report);
        }
        assertEquals(4, fixture.counter("server_reports_malformed"));
        assertEquals(0, fixture.counter("server_input_malformed"));
        assertEquals(1, fixture.counter("server_links_opened"));
    }

    @Test
    void answerInPiecesIsParsedOnceItsLineIsComplete() throws Exception {
        fixture.submit("a");
        connection = cache.accept();
        assertEquals("a", connection.nextId());
        for (char c : "HD Oa c1 Linflight=17,queue=2,x1=0\r\n".toCharArray()) {
            connection.write(String.valueOf(c));
            fixture.awaitPoll();
        }
        PoolFixture.AttemptEnd end = fixture.nextEnd();
        assertEquals(List.of(17f, 2f, 0f), end.report());
        assertEquals(0, fixture.pendingEnds());
    }
}
