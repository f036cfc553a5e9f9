package stagepier.bans;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class BansTest {
    @TempDir
    private Path shared;

    @Test
    void latestDecisionIsInForceInWhateverOrderItArrives() {
        Bans bans = new Bans();
        assertTrue(bans.take(new Ban("a", true, 10)));
        assertFalse(bans.take(new Ban("a", true, 10)), "not new");
        assertTrue(bans.take(new Ban("a", false, 12)));
        assertFalse(bans.take(new Ban("a", true, 11)), "older than the one in force");
        assertFalse(bans.isBanned("a"));
        assertEquals(12, bans.restoredAt("a"));
        assertTrue(bans.stamp("a", 11.5) > 12, "a clock that is a little behind must not make it older");
    }

    @Test
    void restoredServerIsForgottenInTimeAndABannedOneNever() {
        Bans bans = new Bans();
        bans.take(new Ban("a", true, 10));
        bans.take(new Ban("b", false, 10));
        assertEquals(List.of(), bans.forget(10 + Bans.RESTORED_RETENTION_S));
        assertEquals(List.of(new Ban("b", false, 10)), bans.forget(1000));
        assertTrue(bans.isBanned("a"));
        assertEquals(1, bans.out());
    }

    @Test
    void banWrittenByOneProcessIsReadCompletelyAndOnceByAnother() throws Exception {
        BanFiles one = new BanFiles(shared);
        BanFiles other = new BanFiles(shared);
        assertEquals(List.of(), other.readChanges(), "there is no folder yet");
        double stamp = new Bans().stamp("s-1/x", 1764616000.123456789);
        Ban ban = new Ban("s-1/x", true, stamp);
        one.save(ban);
        assertEquals(List.of(ban), other.readChanges());
        Ban back = new Ban("s-1/x", false, stamp + 1);
        other.save(back);
        assertEquals(List.of(back), new BanFiles(shared).readChanges(), "the later one has replaced it");
        one.delete(ban);
        assertEquals(List.of(back), new BanFiles(shared).readChanges(), "another process has written a newer one");
        one.delete(back);
        assertEquals(List.of(), new BanFiles(shared).readChanges());
    }

    @Test
    void failedWriteOfABanIsRetried() throws Exception {
        BanFiles files = new BanFiles(shared);
        Path blocked = Files.createFile(shared.resolve("stagepier-bans-1"));
        Ban ban = new Ban("a", true, 10);
        assertFalse(files.save(ban));
        assertFalse(files.save(new Ban("b", true, 10)));
        Files.delete(blocked);
        Ban newer = new Ban("b", false, 11);
        new BanFiles(shared).save(newer);
        files.readChanges();
        assertEquals(
                Set.of(ban, newer),
                Set.copyOf(new BanFiles(shared).readChanges()),
                "the newer one of another process stays");
    }

    @Test
    void incompleteAndForeignFilesAreIgnored() throws Exception {
        BanFiles files = new BanFiles(shared);
        files.save(new Ban("good", true, 5));
        Path folder;
        try (var all = Files.list(shared)) {
            folder = all.findFirst().orElseThrow();
        }
        Files.writeString(folder.resolve("torn.ban"), "stagepier ban 1 out 17");
        Files.writeString(folder.resolve("empty.ban"), "");
        Files.writeString(folder.resolve("next.ban"), "stagepier ban 2 out 17.000000 next\n");
        Files.writeString(folder.resolve("renamed.ban"), "stagepier ban 1 out 17.000000 other\n");
        Files.write(folder.resolve("large.ban"), new byte[100_000]);
        Files.createDirectory(folder.resolve("folder.ban"));
        assertEquals(List.of(new Ban("good", true, 5)), files.readChanges());
    }
}
