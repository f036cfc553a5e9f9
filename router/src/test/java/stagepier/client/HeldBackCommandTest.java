package stagepier.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import stagepier.Api;
import stagepier.drain.Drain;
import stagepier.exchange.ManualClock;
import stagepier.exchange.ModuleHost;
import stagepier.exchange.NoOpEvents;
import stagepier.exchange.NoOpTransport;
import stagepier.overload.LoopDelay;
import stagepier.settings.SettingsParser;

/** Prevents commands that waited behind unanswered ones from being forwarded with more time than their clients have. */
class HeldBackCommandTest {
    private static final int SLOTS = 20;
    /** Commands of one link that may be open. */
    private static final int PIPELINE_MAX = 128;

    /** More commands than a link reads ahead, so that the last ones stay in the socket. */
    private static final int HELD_BACK = 600;
    /** Commands that a link reads ahead whole. */
    private static final int READ_AHEAD = 10;

    private static final String KEY = "k".repeat(200);
    /** In seconds. Slack of the time that a cache server is told. */
    private static final double SLACK = 0.15;

    private static final String SETTINGS = """
            {"Classes":[{"Name":"read","Deadline":9,"GoalTime":1,"Repeat":"idempotent","Worth":1}],"Areas":["a"],
            "Flavors":["m"],"Limits":{"MaxAttempts":3,"MaxRetryAfter":1.2,"DialTimeout":2,"IdleClose":60},
            "Obligations":{"DrainGrace":1}}""";

    private final ManualClock clock = new ManualClock();
    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final List<Api.Request> requests = new ArrayList<>();
    private ModuleHost host;
    private ClientListener clients;
    private BackPressuredClient client;
    private int lastId;

    @BeforeEach
    void connectClient() {
        loop.freezeTime();
        LoopDelay delay = new LoopDelay();
        host = new ModuleHost(loop.eventLoop(), clock, delay, SettingsParser.parse(SETTINGS));
        host.connect(
                new NoOpEvents() {
                    @Override
                    public void onRequest(double now, Api.Request request) {
                        requests.add(request);
                    }
                },
                new NoOpTransport() {});
        Drain drain = new Drain();
        clients = new ClientListener(loop.eventLoop(), clock, delay, SLOTS, host, () -> "END", drain);
        drain.started();
        client = new BackPressuredClient(clients, loop);
    }

    private String reads(int count, int waitMs) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append("mg " + KEY + " v Ox")
                    .append(++lastId)
                    .append(" Pc=read,d=")
                    .append(waitMs)
                    .append("\r\n");
        }
        return text.toString();
    }

    /** Answers all open requests, the first one last, so that the link gets room for many commands at a time. */
    private void answerOpen(int first) {
        for (int i = requests.size() - 1; i >= first; i--) {
            host.refuse(requests.get(i).id(), 0.1);
            client.runPendingTasks();
        }
        client.deliver();
    }

    private void answerAll() {
        for (int answered = 0; answered < requests.size(); ) {
            int open = requests.size();
            answerOpen(answered);
            answered = open;
        }
    }

    @Test
    void timeThatACommandSpendsBehindOthersIsTakenFromItsBudget() {
        client.send(reads(PIPELINE_MAX, 8000) + reads(HELD_BACK, 1000));
        assertEquals(PIPELINE_MAX, requests.size());
        clock.pass(3);
        answerAll();
        assertEquals(PIPELINE_MAX + HELD_BACK, requests.size());
        double most = requests.subList(PIPELINE_MAX, requests.size()).stream()
                .mapToDouble(Api.Request::budget)
                .max()
                .orElseThrow();
        assertTrue(most <= 1 - 3 + SLACK, "forwarded with " + most + " s, 2 s after its client stopped waiting");
    }

    @Test
    void commandThatArrivesLaterThanTheOpenOnesKeepsItsOwnTime() {
        client.send(reads(PIPELINE_MAX, 8000));
        clock.pass(3);
        client.send(reads(1, 1000));
        answerAll();
        assertEquals(PIPELINE_MAX + 1, requests.size());
        double budget = requests.get(PIPELINE_MAX).budget();
        assertTrue(budget >= 1 - SLACK, "a command that has just arrived was given " + budget + " s of 1 s");
    }

    /** Prevents a command from being given the age of those before it while the buffer never gets empty. */
    @Test
    void commandReadAheadBehindOthersKeepsItsOwnTime() {
        client.send(reads(PIPELINE_MAX + READ_AHEAD, 8000));
        clock.pass(3);
        client.send(reads(1, 1000));
        answerAll();
        double budget = requests.get(PIPELINE_MAX + READ_AHEAD).budget();
        assertTrue(budget >= 1 - SLACK, "a command that has just arrived was given " + budget + " s of 1 s");
    }

    @Test
    void commandAfterHeldBackOnesKeepsItsOwnTime() {
        client.send(reads(PIPELINE_MAX + HELD_BACK, 8000));
        clock.pass(3);
        answerAll();
        clock.pass(1);
        client.send(reads(1, 1000));
        double budget = requests.get(PIPELINE_MAX + HELD_BACK).budget();
        assertTrue(budget >= 1 - SLACK, "a command that has just arrived was given " + budget + " s of 1 s");
    }
}
