package stagepier.lab.check;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;

/** Reads a router's history, a JSON object a line. */
public final class HistoryLines {
    private static final double NANOS = 1e9;

    private HistoryLines() {}

    /**
     * Adds the lines of one router's file to those of the others. The last line may have been broken off when its process was
     * killed; any other line that makes no sense is told.
     *
     * @param router the one whose file it is, for lines that do not name it
     * @param zero   monotonic nanoseconds at which the lab's clock began
     * @return what is wrong with the file, a line each
     */
    public static List<String> read(String router, List<String> lines, long zero, List<HistoryEntry> into) {
        List<String> wrong = new ArrayList<>();
        Processes processes = new Processes();
        for (int i = 0; i < lines.size(); i++) {
            if (lines.get(i).isBlank()) {
                continue;
            }
            try {
                into.add(told(router, lines.get(i), zero, processes));
            } catch (JsonParseException
                    | IllegalStateException
                    | UnsupportedOperationException
                    | NumberFormatException e) {
                // A killed process leaves half a line, to which the next one's first is joined.
                if (i < lines.size() - 1
                        && !lines.get(i).contains("}{")
                        && lines.get(i).endsWith("}")) {
                    wrong.add("history of " + router + ":" + (i + 1) + ": no event: " + e.getMessage());
                }
            }
        }
        return wrong;
    }

    /**
     * Each process numbers its lines from the first on; one that does not is told by its incarnation. Threads may write theirs a
     * little out of order, and the first line may be lost to one that was broken off.
     */
    private static final class Processes {
        private static final int OUT_OF_ORDER = 20;

        private long highest;
        private long count;

        long of(JsonObject line) {
            if (!line.has("seq")) {
                return line.has("incarnation") ? line.get("incarnation").getAsLong() : 0;
            }
            long seq = line.get("seq").getAsLong();
            if (seq == 1 || seq + OUT_OF_ORDER < highest) {
                count++;
                highest = 0;
            }
            highest = Math.max(highest, seq);
            return count;
        }
    }

    private static HistoryEntry told(String router, String line, long zero, Processes processes) {
        JsonObject o = JsonParser.parseString(line).getAsJsonObject();
        JsonElement event = o.get("event");
        JsonElement nano = o.get("nano");
        if (event == null || nano == null) {
            throw new JsonParseException("event or nano is missing");
        }
        return new HistoryEntry(
                (nano.getAsLong() - zero) / NANOS,
                o.has("at") ? o.get("at").getAsLong() : 0,
                o.has("router") ? o.get("router").getAsString() : router,
                processes.of(o),
                event.getAsString(),
                o,
                line);
    }
}
