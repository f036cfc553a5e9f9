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

/** Every member of a customer's settings spoilt in turn: it is refused in one line, or a request is decided all the same. */
class GarbledSettingsTest {
    private static final List<String> SPOILT = List.of(
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

    /** Calls with each whole text that has one member replaced, removed or joined by one that nobody knows. */
    private static void eachSpoilt(JsonElement root, JsonElement at, Consumer<String> test) {
        if (at.isJsonObject()) {
            JsonObject o = at.getAsJsonObject();
            for (String key : List.copyOf(o.keySet())) {
                JsonElement was = o.get(key);
                for (String spoilt : SPOILT) {
                    o.add(key, JsonParser.parseString(spoilt));
                    test.accept(root.toString());
                }
                o.remove(key);
                test.accept(root.toString());
                o.add(key, was);
                eachSpoilt(root, was, test);
            }
            o.add("Unheard", new JsonArray());
            test.accept(root.toString());
            o.remove("Unheard");
        } else if (at.isJsonArray()) {
            JsonArray a = at.getAsJsonArray();
            for (int i = 0; i < a.size(); i++) {
                JsonElement was = a.get(i);
                for (String spoilt : SPOILT) {
                    a.set(i, JsonParser.parseString(spoilt));
                    test.accept(root.toString());
                }
                a.set(i, was);
                eachSpoilt(root, was, test);
            }
        }
    }

    /** What is wrong with how these settings are taken, or null. */
    private static String fault(String settings) {
        try {
            Batch batch = new Batch(5).up(3, settings).list(0, 1, 2, 3).discovery(3, 2, 0);
            for (int i = 0; i < 8; i++) {
                batch.request(3, i + 1, 0, i % 3, i);
            }
            Batch later = new Batch(5.05);
            for (int i = 0; i < 8; i++) {
                later.due(3, i + 1);
            }
            boolean failed = AdapterTest.replies(batch.bytes(), later.bytes()).stream()
                    .flatMap(List::stream)
                    .anyMatch(a -> a.code() == 1090);
            return failed ? "the module failed" : null;
        } catch (WireException e) {
            String message = e.getMessage();
            return message.startsWith("settings: ") && message.lines().count() == 1
                    ? null
                    : "not one plain line: " + message;
        } catch (IOException | RuntimeException e) {
            return e.toString();
        }
    }

    @Test
    void eachIsRefusedInOneLineOrTaken() {
        List<String> faults = new ArrayList<>();
        int[] tried = new int[1];
        for (String customer : List.of(Customers.PAGES, Customers.CREDIT)) {
            assertEquals(null, fault(customer));
            JsonElement root = JsonParser.parseString(customer);
            eachSpoilt(root, root, settings -> {
                tried[0]++;
                String fault = fault(settings);
                if (fault != null) {
                    faults.add(fault + " for " + settings.replace("\n", ""));
                }
            });
            assertEquals(JsonParser.parseString(customer), root, "each was put back");
        }
        assertEquals(List.of(), faults.stream().limit(20).toList());
        assertTrue(tried[0] > 1000, tried[0] + " are too few");
    }
}
