package stagepier.bans;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Several processes' views of one shared folder, in one JVM. */
@Timeout(60)
class SharedBansTest {
    private static final double NOW = 1764616000.123456789;
    private static final String SERVER = "s-1/x";

    @TempDir
    private Path shared;

    private Path folder;
    private SharedBans one;
    private SharedBans other;

    @BeforeEach
    void begin() {
        folder = shared.resolve("stagepier-bans-1");
        one = new SharedBans(shared);
        other = new SharedBans(shared);
    }

    /** Returns whether a process that starts now has the server out. */
    private boolean isOutForNewProcess(String server) {
        Bans bans = new Bans();
        new SharedBans(shared).readChanges().forEach(bans::take);
        return bans.isBanned(server);
    }

    private long files(String suffix) throws IOException {
        try (var all = Files.list(folder)) {
            return all.filter(file -> file.toString().endsWith(suffix)).count();
        }
    }

    @Test
    void decisionOfOneProcessIsReadCompletelyAndOnceByAnother() {
        assertEquals(List.of(), other.readChanges(), "there is no folder yet");
        SharedBans.Decision out = one.decide(SERVER, true, NOW);
        assertTrue(out.changed() && out.stored());
        assertEquals(List.of(out.ban()), other.readChanges());
        SharedBans.Decision back = other.decide(SERVER, false, NOW + 1);
        assertTrue(back.changed());
        assertEquals(List.of(back.ban()), new SharedBans(shared).readChanges(), "the later one has replaced it");
        one.delete(out.ban());
        assertEquals(List.of(back.ban()), new SharedBans(shared).readChanges(), "another process has decided since");
        one.delete(back.ban());
        assertEquals(List.of(), new SharedBans(shared).readChanges());
    }

    /** Guards against a call that is compared with what was read before the call of the other process. */
    @Test
    void callIsComparedWithTheCallsOfTheOtherProcessThatWereNotReadYet() {
        one.decide(SERVER, true, NOW);
        other.readChanges();
        one.readChanges();
        assertTrue(one.decide(SERVER, false, NOW + 10).changed());
        SharedBans.Decision out = other.decide(SERVER, true, NOW + 10.05);
        assertTrue(out.changed(), "it is not out any more");
        assertTrue(isOutForNewProcess(SERVER));
        assertTrue(one.decide(SERVER, false, NOW + 10.1).changed());
        assertFalse(other.decide(SERVER, false, NOW + 10.1).changed());
        assertFalse(isOutForNewProcess(SERVER));
    }

    /** Guards against an order of calls that depends on the clocks of the processes. */
    @Test
    void lastCallHoldsAlsoIfTheClockOfItsProcessIsAnHourBehind() {
        Bans ofOne = new Bans();
        ofOne.take(one.decide(SERVER, true, NOW + 3600).ban());
        ofOne.take(one.decide(SERVER, false, NOW + 3601).ban());
        assertTrue(other.decide(SERVER, true, NOW).changed());
        one.readChanges().forEach(ofOne::take);
        assertTrue(ofOne.isBanned(SERVER));
    }

    @Test
    void callBackOfServerThatWasNeverOutLeavesNothing() {
        SharedBans.Decision decision = one.decide(SERVER, false, NOW);
        assertNull(decision.ban());
        assertFalse(decision.changed());
        assertEquals(List.of(), other.readChanges());
    }

    /** A call of one process, with its begin and end in nanoseconds. */
    private record Call(boolean out, long begin, SharedBans.Decision decision, long end) {}

    /**
     * Guards against a late writer: processes call at the same time. No two decisions have one version, a call that
     * began after another one had ended comes behind it, and what the last one says is in force.
     */
    @Test
    void callsAtTheSameTimeHaveOneOrderForAllProcesses() throws Exception {
        int processes = 4;
        ExecutorService threads = Executors.newFixedThreadPool(processes);
        List<Future<List<Call>>> results = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
            int seed = i;
            results.add(threads.submit(() -> call(150, new Random(seed))));
        }
        List<Call> calls = new ArrayList<>();
        for (Future<List<Call>> result : results) {
            calls.addAll(result.get());
        }
        threads.shutdown();
        TreeMap<Long, Ban> order = new TreeMap<>();
        for (Call call : calls) {
            Ban ban = call.decision().ban();
            assertTrue(call.decision().stored());
            assertEquals(call.out(), ban != null && ban.out());
            if (ban != null) {
                Ban sameVersion = order.put(ban.version(), ban);
                assertTrue(sameVersion == null || sameVersion.equals(ban), "two decisions with one version");
            }
        }
        for (Call call : calls) {
            for (Call later : calls) {
                assertTrue(
                        later.begin() < call.end() || version(later) >= version(call),
                        () -> later + " comes before " + call);
            }
        }
        assertEquals(order.lastEntry().getValue().out(), isOutForNewProcess(SERVER));
        assertTrue(files(".decision") <= 2, "superseded entries are deleted");
    }

    private static long version(Call call) {
        return call.decision().ban() == null ? 0 : call.decision().ban().version();
    }

    private List<Call> call(int count, Random random) {
        SharedBans process = new SharedBans(shared);
        List<Call> calls = new ArrayList<>();
        for (int n = 0; n < count; n++) {
            boolean out = random.nextBoolean();
            long begin = System.nanoTime();
            SharedBans.Decision decision = process.decide(SERVER, out, NOW + n);
            calls.add(new Call(out, begin, decision, System.nanoTime()));
            process.decide("s-2", random.nextBoolean(), NOW + n);
        }
        return calls;
    }

    @Test
    void versionsGoOnAfterExpiredDecisionsWereDeleted() {
        one.decide(SERVER, true, NOW);
        Ban back = one.decide(SERVER, false, NOW + 1).ban();
        Bans ofOther = new Bans();
        other.readChanges().forEach(ofOther::take);
        one.delete(back);
        one.readChanges();
        ofOther.take(one.decide(SERVER, true, NOW + 200).ban());
        assertTrue(ofOther.isBanned(SERVER), "a new decision must be later than those that were deleted");
    }

    @Test
    void failedWriteIsRetriedUnlessAnotherProcessHasDecidedSince() throws Exception {
        Path blocked = Files.createFile(folder);
        SharedBans.Decision a = one.decide("a", true, NOW);
        assertTrue(a.changed() && !a.stored());
        assertFalse(one.decide("b", true, NOW).stored());
        Files.delete(blocked);
        other.decide("b", true, NOW + 1);
        SharedBans.Decision newer = other.decide("b", false, NOW + 2);
        Bans ofOne = new Bans();
        ofOne.take(a.ban());
        one.readChanges().forEach(ofOne::take);
        assertTrue(ofOne.isBanned("a"));
        assertTrue(isOutForNewProcess("a"));
        assertFalse(ofOne.isBanned("b"));
        assertEquals(newer.ban().since(), ofOne.restoredAt("b"));
        assertFalse(isOutForNewProcess("b"), "the newer one of another process stays");
    }

    /** Guards against a call back that is written late, over a repeated call out that came after it. */
    @Test
    void repeatedCallOutOutlastsAnEarlierCallBackThatIsNotStoredYet() throws Exception {
        one.decide(SERVER, true, NOW);
        Path moved = Files.move(folder, shared.resolve("moved"));
        Files.createFile(folder);
        assertFalse(one.decide(SERVER, false, NOW + 1).stored());
        Files.delete(folder);
        Files.move(moved, folder);
        assertFalse(other.decide(SERVER, true, NOW + 2).changed());
        Bans ofOne = new Bans();
        one.readChanges().forEach(ofOne::take);
        assertTrue(ofOne.isBanned(SERVER));
        assertTrue(isOutForNewProcess(SERVER));
    }

    @Test
    void incompleteAndForeignFilesAreIgnored() throws Exception {
        SharedBans.Decision good = one.decide("good", true, 5);
        Files.writeString(folder.resolve("torn.ban"), "stagepier ban 1 out 17");
        Files.writeString(folder.resolve("empty.ban"), "");
        Files.writeString(folder.resolve("next.ban"), "stagepier ban 2 out 17.000000 next\n");
        Files.writeString(folder.resolve("renamed.ban"), "stagepier ban 1 out 17.000000 other\n");
        Files.write(folder.resolve("large.ban"), new byte[100_000]);
        Files.createDirectory(folder.resolve("folder.ban"));
        String next = "good." + (good.ban().version() + 1) + ".decision";
        Files.writeString(folder.resolve(next), "stagepier ban 2 back 17.000000 good\n");
        Files.writeString(folder.resolve("empty.8.decision"), "");
        Files.writeString(folder.resolve("renamed.8.decision"), "stagepier ban 1 out 17.000000 other\n");
        Files.writeString(folder.resolve("nine.decision"), "stagepier ban 1 out 17.000000 nine\n");
        Files.writeString(folder.resolve("part9.part"), "stagepier ban 1 out 17.000000 part\n");
        List<Ban> read = other.readChanges();
        assertEquals(List.of(good.ban().withVersion(good.ban().version() + 1)), read);
        assertTrue(other.decide("good", false, 6).changed(), "foreign entries must not hinder later decisions");
        assertFalse(isOutForNewProcess("good"));
    }

    /** Guards against a ban that is lost in the upgrade from the previous release, or in the return to it. */
    @Test
    void decisionsArePassedToAndFromProcessesOfThePreviousRelease() throws Exception {
        Files.createDirectories(folder);
        Path file = folder.resolve("s-1_2fx.ban");
        Files.writeString(file, "stagepier ban 1 out 17.000000 s-1/x\n");
        assertTrue(one.decide(SERVER, false, 20).changed());
        assertEquals("stagepier ban 1 back 20.000000 s-1/x\n", Files.readString(file));
        Files.writeString(file, "stagepier ban 1 out 21.000000 s-1/x\n");
        Bans ofOther = new Bans();
        other.readChanges().forEach(ofOther::take);
        assertTrue(ofOther.isBanned(SERVER));
        assertFalse(one.decide(SERVER, true, 22).changed(), "out already");
        SharedBans.Decision back = one.decide(SERVER, false, 23);
        one.delete(back.ban());
        assertFalse(Files.exists(file), "expired");
        assertFalse(isOutForNewProcess(SERVER));
    }
}
