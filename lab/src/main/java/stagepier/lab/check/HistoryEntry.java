package stagepier.lab.check;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;

/**
 * One line of a router's history.
 *
 * @param at          seconds on the lab's clock, taken from the monotonic clock of the machine, which no offset changes
 * @param wall        epoch milliseconds as the lab's machine had it
 * @param router      who wrote it
 * @param process     which of that router's processes, in their order
 * @param event       such as {@code view}
 * @param values      what else the line holds
 * @param line        the line itself, to be shown
 */
public record HistoryEntry(
        double at, long wall, String router, long process, String event, JsonObject values, String line) {
    boolean is(String name) {
        return event.equals(name);
    }

    /** A text, or "" where there is none. */
    String text(String name) {
        JsonElement e = values.get(name);
        return e != null && e.isJsonPrimitive() ? e.getAsString() : "";
    }

    /** A number, or that which stands for none. */
    double number(String name, double absent) {
        JsonElement e = values.get(name);
        try {
            return e != null && e.isJsonPrimitive() ? e.getAsDouble() : absent;
        } catch (NumberFormatException notANumber) {
            return absent;
        }
    }

    boolean flag(String name) {
        JsonElement e = values.get(name);
        return e != null && e.isJsonPrimitive() && e.getAsBoolean();
    }

    /** A list of texts; empty where there is none. */
    List<String> texts(String name) {
        List<String> all = new ArrayList<>();
        if (values.get(name) instanceof JsonArray array) {
            array.forEach(e -> all.add(e.isJsonPrimitive() ? e.getAsString() : e.toString()));
        }
        return all;
    }

    @Override
    public String toString() {
        return "%.3f s %s".formatted(at, line);
    }
}
