package stagepier.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Replaces each member of valid settings in turn: the settings are rejected in one line, or requests are still decided.
 */
class GarbledSettingsTest {
    private static final List<String> REPLACEMENTS = List.of(
            "null",
            "\"\"",
            "\"\\n\\tat x\"",
            "true",
            "-1",
            "0",
            "1e300",
            "-1e300",
            "1e-300",
            "[]",
            "{}",
            "[1]",
            "[null]",
            "[{}]",
            "{\"a\":null}");

    /**
     * Calls the test with each settings text in which one member is replaced or removed, or an unknown one is added.
     */
    private static void forEachVariant(JsonElement root, JsonElement element, Consumer<String> test) {
        if (element.isJsonObject()) {
            JsonObject o = element.getAsJsonObject();
            for (String key : List.copyOf(o.keySet())) {
                JsonElement original = o.get(key);
                for (String replacement : REPLACEMENTS) {
                    o.add(key, JsonParser.parseString(replacement));
                    test.accept(root.toString());
                }
                o.remove(key);
                test.accept(root.toString());
                o.add(key, original);
                forEachVariant(root, original, test);
            }
            o.add("UnknownKey", new JsonArray());
            test.accept(root.toString());
            o.remove("UnknownKey");
        } else if (element.isJsonArray()) {
            JsonArray a = element.getAsJsonArray();
            for (int i = 0; i < a.size(); i++) {
                JsonElement original = a.get(i);
                for (String replacement : REPLACEMENTS) {
                    a.set(i, JsonParser.parseString(replacement));
                    test.accept(root.toString());
                }
                a.set(i, original);
                forEachVariant(root, original, test);
            }
        }
    }

    /** Returns what is wrong with the handling of these settings, or null. */
    private static String failure(String settings) {
        try {
            Batch batch = new Batch(5)
                    .instanceStart(3, settings)
                    .memberTable(0, 1, 2, 3)
                    .discovery(3, 2, 0);
            for (int i = 0; i < 8; i++) {
                batch.request(3, i + 1, 0, i % 3, i);
            }
            Batch later = new Batch(5.05);
            for (int i = 0; i < 8; i++) {
                later.timerDue(3, i + 1);
            }
            boolean failed = AdapterTest.replies(batch.bytes(), later.bytes()).stream()
                    .flatMap(List::stream)
                    .anyMatch(a -> a.code() == 1090);
            return failed ? "the module threw an exception" : null;
        } catch (WireException e) {
            String message = e.getMessage();
            return message.startsWith("settings: ") && message.lines().count() == 1
                    ? null
                    : "not a one-line message: " + message;
        } catch (IOException | RuntimeException e) {
            return e.toString();
        }
    }

    @Test
    void eachVariantIsRejectedInOneLineOrAccepted() {
        List<String> failures = new ArrayList<>();
        int[] variants = new int[1];
        for (String customer : List.of(Customers.PAGES, Customers.CREDIT)) {
            assertEquals(null, failure(customer));
            JsonElement root = JsonParser.parseString(customer);
            forEachVariant(root, root, settings -> {
                variants[0]++;
                String failure = failure(settings);
                if (failure != null) {
                    failures.add(failure + " for " + settings.replace("\n", ""));
                }
            });
            assertEquals(JsonParser.parseString(customer), root, "each member is restored");
        }
        assertEquals(List.of(), failures.stream().limit(20).toList());
        assertTrue(variants[0] > 1000, variants[0] + " variants are too few");
    }
}
