package stagepier.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import stagepier.Api;
import stagepier.drain.Drain;
import stagepier.exchange.Exchange;
import stagepier.exchange.ManualClock;
import stagepier.exchange.ModuleHost;
import stagepier.exchange.NoOpEvents;
import stagepier.exchange.NoOpTransport;
import stagepier.overload.LoopDelay;
import stagepier.settings.SettingsParser;

/** A client link without a socket, as the warm-up of a router uses it. */
class EmbeddedLinkTest {
    private static final String SETTINGS = """
            {"Classes":[{"Name":"read","Deadline":9,"GoalTime":1,"Repeat":"idempotent","Worth":1}],"Areas":["a"],
            "Flavors":["m"],"Limits":{"MaxAttempts":3,"MaxRetryAfter":1.2,"DialTimeout":2,"IdleClose":60},
            "Obligations":{"DrainGrace":1}}""";

    /** Guards against a warm-up whose requests count as those of clients that have gone, because it takes long. */
    @Test
    void clientCountsAsConnectedUntilItsChannelIsClosed() {
        ManualClock clock = new ManualClock();
        EmbeddedChannel loop = new EmbeddedChannel();
        LoopDelay delay = new LoopDelay();
        ModuleHost host = new ModuleHost(loop.eventLoop(), clock, delay, SettingsParser.parse(SETTINGS));
        List<Exchange> exchanges = new ArrayList<>();
        host.connect(
                new NoOpEvents() {
                    @Override
                    public void onRequest(double now, Api.Request request) {
                        host.send(request.id(), 1, 1);
                    }
                },
                new NoOpTransport() {
                    @Override
                    public Transmission send(Exchange exchange, int attempt, long server, double timeout) {
                        exchanges.add(exchange);
                        return () -> {};
                    }
                });
        Drain drain = new Drain();
        ClientListener clients = new ClientListener(loop.eventLoop(), clock, delay, 1, host, () -> "END", drain);
        drain.started();
        EmbeddedClient client = new EmbeddedClient(clients);
        client.write("mg k v O1 Pc=read,d=8000\r\n");
        clients.workOff();
        assertEquals(1, exchanges.size());
        for (int i = 0; i < 3; i++) {
            clock.pass(1);
            assertTrue(exchanges.get(0).isWanted(), "after " + (i + 1) + " s");
        }
        client.close();
        assertFalse(exchanges.get(0).isWanted());
    }
}
