package stagepier.lab.standin;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The list of cache servers as discovery has it, with its changes by version. Messages are made once and kept. */
public final class HostList {
    /** A version of one entry. */
    public record Entry(String id, int node, String hostPort, String zone, String lifecycle, long startedAtMs) {
        private JsonObject json() {
            JsonObject o = new JsonObject();
            o.addProperty("instanceId", id);
            o.addProperty("hostPort", hostPort);
            o.addProperty("zone", zone);
            o.addProperty("machineType", "m");
            o.addProperty("cell", node);
            o.addProperty("lifecycle", lifecycle);
            o.addProperty("weight", 1.0);
            o.addProperty("startedAtMs", startedAtMs);
            return o;
        }
    }

    /**
     * What a call is answered with.
     *
     * @param isWhole it holds the whole list, and not changes only
     * @param body    as it is sent; not to be changed
     */
    public record Message(boolean isWhole, List<Entry> entries, byte[] body) {}

    private static final String REMOVED = "removed";

    private final List<Entry> log = new ArrayList<>();
    private final Map<String, Entry> current = new LinkedHashMap<>();
    /** By the version from which they are asked; of the version that is the newest now. */
    private final Map<Integer, Message> changes = new HashMap<>();

    private Message whole;
    /** Changes from before this version are not known any more. */
    private int oldest;

    /** Something has changed. */
    public void publish(Entry entry) {
        log.add(entry);
        if (entry.lifecycle().equals(REMOVED)) {
            current.remove(entry.id());
        } else {
            current.put(entry.id(), entry);
        }
        changes.clear();
        whole = null;
    }

    /** Forgets its history: whoever asks for changes from an earlier version than this one gets the whole list. */
    public void forgetHistory() {
        oldest = log.size();
        changes.clear();
    }

    public int generation() {
        return log.size();
    }

    /** Whether a call from that version may wait for changes that follow on it. */
    public boolean isNewest(int from) {
        return from == log.size();
    }

    /** What a call from that version is answered with now: changes, or the whole list where they are not known. */
    public Message since(int from) {
        if (from < oldest || from > log.size()) {
            return whole();
        }
        return changes.computeIfAbsent(from, f -> message(false, List.copyOf(log.subList(f, log.size()))));
    }

    /** The whole list. */
    public Message whole() {
        if (whole == null) {
            whole = message(true, List.copyOf(current.values()));
        }
        return whole;
    }

    private Message message(boolean isWhole, List<Entry> entries) {
        return new Message(isWhole, entries, json(isWhole, entries).toString().getBytes(StandardCharsets.UTF_8));
    }

    /** The whole list, as a router's configuration holds the last one that it knew. */
    public JsonObject json() {
        return json(true, current.values());
    }

    private JsonObject json(boolean isWhole, Collection<Entry> entries) {
        JsonObject o = new JsonObject();
        o.addProperty("generation", log.size());
        o.addProperty("reset", isWhole);
        JsonArray instances = new JsonArray();
        entries.forEach(e -> instances.add(e.json()));
        o.add("instances", instances);
        return o;
    }
}
