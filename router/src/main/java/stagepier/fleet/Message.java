package stagepier.fleet;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;

/**
 * What one router says to another: a call or the reply to one. Each part of the fleet's work has its own kinds, named
 * {@code part.word} such as {@code view.ping}, and a record of its own for what the kind holds.
 *
 * @param kind which of the words of which part
 * @param body a record in JSON
 */
public record Message(String kind, JsonElement body) {
    private static final Gson GSON = new Gson();

    /** A message that makes no sense; whoever sent it is not listened to further on that link. */
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

    /** The part that this is for: the kind up to the point. */
    public String part() {
        int point = kind.indexOf('.');
        return point < 0 ? kind : kind.substring(0, point);
    }

    /**
     * What it holds. Fields that are absent are null or 0: whoever reads has to look.
     *
     * @throws MalformedException where it is no such record
     */
    public <T> T read(Class<T> type) throws MalformedException {
        try {
            T content = GSON.fromJson(body, type);
            if (content == null) {
                throw new MalformedException(kind + " is empty");
            }
            return content;
        } catch (JsonParseException | IllegalArgumentException e) {
            throw new MalformedException(kind + " is no " + type.getSimpleName());
        }
    }
}
