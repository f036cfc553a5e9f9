package rig;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Slow cache servers give large values in small pieces. One of three servers stands still for 200 ms every 4 s and then
 * goes on, always to the value's end.
 */
final class PausedValue {
    private static final int SERVERS = 3;
    private static final String STANDING = "s-00000001";
    private static final double STANDS_EVERY = 4;
    private static final double STANDS_FOR = 0.2;
    private static final int READS = 48;
    private static final double READ_EVERY = 0.5;
    private static final int VALUE_BYTES = 2 << 20;
    private static final int PIECE_BYTES = 16 << 10;
    /** Seconds between two pieces: a value takes about 3.8 s. */
    private static final double PIECE_EVERY = 0.03;

    private final Rig rig;
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger cutOff = new AtomicInteger();

    private PausedValue(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new PausedValue(rig).play());
    }

    /** Sleeps until a server that stands still now goes on. */
    private void standStill(CacheServer.Request request, int given) throws InterruptedException {
        double since = Rig.now() % STANDS_EVERY;
        if (rig.trouble && request.server.id.equals(STANDING) && since < STANDS_FOR) {
            rig.note(request.server.id, "stands still, id=" + request.id + " after " + given + " bytes");
            Rig.sleep(STANDS_FOR - since);
            rig.note(request.server.id, "goes on, id=" + request.id);
        }
    }

    private void giveSlowly(CacheServer.Request request) {
        request.answer(out -> {
            int given = 0;
            try {
                out.write(("VA " + VALUE_BYTES + " O" + request.id + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                byte[] piece = new byte[PIECE_BYTES];
                Arrays.fill(piece, (byte) 'x');
                while (given < VALUE_BYTES) {
                    standStill(request, given);
                    out.write(piece);
                    given += piece.length;
                    Rig.sleep(PIECE_EVERY);
                }
                out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
                whole.incrementAndGet();
                rig.note(request.server.id, "has given all of id=" + request.id);
            } catch (IOException e) {
                cutOff.incrementAndGet();
                rig.note(request.server.id, "was cut off by the router, id=" + request.id + " after " + given + " bytes");
                throw e;
            }
        });
    }

    private List<String> play() throws Exception {
        Discovery discovery = new Discovery(rig);
        for (int i = 1; i <= SERVERS; i++) {
            discovery.put(
                    new CacheServer("s-0000000" + i, request -> {
                        rig.note(request.server.id, "runs " + request.line);
                        rig.after(0.05, () -> giveSlowly(request));
                    }),
                    "up");
        }
        // The deadlines are half of the site's.
        String settings = Rig.settings(
                Rig.requestClass("lot-view", "idempotent", 0.4, 1.0, 0, 3) + ","
                        + Rig.requestClass("bid-place", "deduplicated", 0.3, 0.75, 1, 8),
                "");
        int port = Rig.freePort();
        Rig.Router router = rig.start(
                "n1",
                rig.config("n1", port, discovery.port(), 256, discovery.list(), settings),
                port,
                0,
                Path.of(rig.temp.toString(), "n1"),
                false);
        rig.awaitReady(router);
        List<CompletableFuture<Client.Answer>> answers = new ArrayList<>();
        for (int i = 0; i < READS; i++) {
            rig.note("client", "asks id=" + id(i));
            answers.add(new Client(port).send(Client.get("%016x".formatted((i + 1) * 0x9e3779b97f4a7c15L), id(i), "lot-view", 1000)));
            Rig.sleep(READ_EVERY);
        }
        List<String> breaks = new ArrayList<>();
        int served = 0;
        for (int i = 0; i < READS; i++) {
            Client.Answer answer = answers.get(i).get(30, TimeUnit.SECONDS);
            rig.note("client", "got id=" + id(i) + ": " + answer.line() + ", " + answer.length() + " bytes, whole=" + answer.whole()
                    + ", at %.4f".formatted(answer.at()));
            if (answer.isServed()) {
                served++;
            } else if (answer.line() != null && answer.line().startsWith("VA ")) {
                breaks.add("id=" + id(i) + " was cut off after " + answer.length() + " of " + VALUE_BYTES
                        + " bytes, while its cache server was giving it");
            } else {
                rig.note("client", "not served, which is no break: id=" + id(i));
            }
        }
        Rig.sleep(1);
        rig.note("sum", "asked=" + READS + " served whole=" + served + "; at cache servers: whole=" + whole + " cut off=" + cutOff);
        rig.noteCounters(router, "server_flows_begun", "server_flows_broken", "client_links_closed_value_broken",
                "server_input_malformed");
        if (served == 0) {
            throw new Rig.CannotRun("no value was served at all");
        }
        return breaks;
    }

    private static String id(int i) {
        return "%016x".formatted(0xabc000 + i);
    }
}
