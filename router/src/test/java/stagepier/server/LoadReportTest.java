package stagepier.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.Api;

/** Load reports over sockets: what the module is given, and what a bad one changes, which is a counter alone. */
@Timeout(30)
class LoadReportTest extends OneServerFixture {
    private PoolBench.Conversation connection;

    @BeforeEach
    void readReports() {
        bench.pools.readReports(List.of("inflight", "queue", "x1"));
    }

    /** The end of an attempt whose answer is that line with the id in it. */
    private PoolBench.End answered(String id, String line) throws Exception {
        bench.ask(id);
        connection = connection == null ? cache.accept() : connection;
        assertEquals(id, connection.nextId());
        connection.write(line.formatted(id) + "\r\n");
        return bench.nextEnd();
    }

    @Test
    void theModuleIsGivenTheReportOfEachKindOfAnswer() throws Exception {
        PoolBench.End served = answered("a", "HD O%s c1 Lqueue=2,inflight=7,x1=0");
        assertEquals(Api.Outcome.OK, served.outcome());
        assertEquals(List.of(7f, 2f, 0f), served.report());
        PoolBench.End failed = answered("b", "SERVER_ERROR failed Linflight=8,queue=3,x1=1");
        assertEquals(Api.Outcome.ERROR, failed.outcome());
        assertEquals(List.of(8f, 3f, 1f), failed.report());
        // Right after an answer that names no request a refusal could be that one, come twice.
        bench.pass(1);
        PoolBench.End full = answered("c", "SERVER_ERROR busy Linflight=9,queue=4,x1=1");
        assertEquals(Api.Outcome.FULL, full.outcome());
        assertEquals(List.of(9f, 4f, 1f), full.report());
        assertEquals(3, bench.counter("server_reports"));
        assertEquals(0, bench.counter("server_reports_malformed"));
    }

    @Test
    void aBadReportIsCountedAndItsAnswerStandsOnTheSameConnection() throws Exception {
        for (String report : List.of("L", "Linflight=x,queue=1,x1=1", "Linflight=1,queue=1", "Lqueue==1")) {
            PoolBench.End end = answered(Integer.toHexString(report.hashCode()), "HD O%s c1 " + report);
            assertEquals(Api.Outcome.OK, end.outcome(), report);
            assertEquals(List.of(), end.report(), report);
        }
        assertEquals(4, bench.counter("server_reports_malformed"));
        assertEquals(0, bench.counter("server_input_malformed"));
        assertEquals(1, bench.counter("server_links_opened"));
    }

    @Test
    void anAnswerInPiecesIsReadOnceItsLineIsWhole() throws Exception {
        bench.ask("a");
        connection = cache.accept();
        assertEquals("a", connection.nextId());
        for (char c : "HD Oa c1 Linflight=17,queue=2,x1=0\r\n".toCharArray()) {
            connection.write(String.valueOf(c));
            bench.turn();
        }
        PoolBench.End end = bench.nextEnd();
        assertEquals(List.of(17f, 2f, 0f), end.report());
        assertEquals(0, bench.endsLeft());
    }
}
