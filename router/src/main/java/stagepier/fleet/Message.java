package stagepier.fleet;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;

/**
 * A call or a reply between two routers. Each service of the fleet has message kinds of its own, named
 * {@code family.name} such as {@code view.ping}, and a record type for the content of each kind.
 *
 * @param kind message family and name
 * @param body content as a JSON record
 */
public record Message(String kind, JsonElement body) {
    private static final Gson GSON = new Gson();

    /** Thrown for a malformed message; the link on which it arrived is closed. */
    public static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1L;

        public MalformedException(String message) {
            super(message);
        }
    }

    /** @param content a record of strings, numbers, lists, maps and records of these */
    public static Message of(String kind, Object content) {
        return new Message(kind, GSON.toJsonTree(content));
    }

    /** Returns the message family: the kind up to the first dot. */
    public String part() {
        int dot = kind.indexOf('.');
        return dot < 0 ? kind : kind.substring(0, dot);
    }

    /**
     * Decodes the content. Absent fields are null or 0; the caller must check them.
     *
     * @throws MalformedException if the content is not a record of this type
     */
    public <T> T read(Class<T> type) throws MalformedException {
        try {
            T content = GSON.fromJson(body, type);
            if (content == null) {
                throw new MalformedException(kind + " has no content");
            }
            return content;
        } catch (JsonParseException | IllegalArgumentException e) {
            throw new MalformedException(kind + " is not a valid " + type.getSimpleName());
        }
    }
}
