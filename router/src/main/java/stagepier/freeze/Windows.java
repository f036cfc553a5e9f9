package stagepier.freeze;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;

/** The windows of a calendar, sorted by name. Immutable; equal windows have equal text. */
final class Windows {
    /**
     * Maximum size of the text: a message that holds it twice fits into {@link
     * stagepier.fleet.FleetRpc#MAX_MESSAGE_BYTES}.
     */
    static final int MAX_TEXT_BYTES = 12 * 1024;

    private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();
    private static final int HASH_BYTES = 8;

    /** The JSON form of a window. */
    private record SerializedWindow(
            String name,
            String zone,
            String start,
            String end,
            String rule,
            String duration,
            String scope,
            String reason) {}

    private final List<Window> windows;
    private final String text;

    Windows(List<Window> windows) {
        this.windows =
                windows.stream().sorted(Comparator.comparing(Window::name)).toList();
        text = GSON.toJson(this.windows.stream()
                .map(w -> new SerializedWindow(
                        w.name(),
                        w.zone().getId(),
                        w.start().toString(),
                        w.end() == null ? null : w.end().toString(),
                        w.rule() == null ? null : w.rule().toString(),
                        w.duration() == null ? null : w.duration().toString(),
                        w.scope().toString(),
                        w.reason()))
                .toList());
    }

    /**
     * Parses the form that {@link #text()} returns, possibly written by another process.
     *
     * @throws IllegalArgumentException if another build wrote a text that this one cannot read
     */
    static Windows read(String text) {
        try {
            List<Window> windows = new ArrayList<>();
            for (SerializedWindow w : GSON.fromJson(text, SerializedWindow[].class)) {
                LocalDateTime start = LocalDateTime.parse(w.start());
                Scope scope = Scope.parse(w.scope());
                if (scope == null || (w.rule() == null) != (w.end() != null)) {
                    throw new IllegalArgumentException(
                            "window " + w.name() + " has an unknown scope, or not exactly one of end and rule");
                }
                windows.add(new Window(
                        w.name(),
                        ZoneId.of(w.zone()),
                        start,
                        w.end() == null ? null : LocalDateTime.parse(w.end()),
                        w.rule() == null ? null : new Recurrence(w.rule(), start),
                        w.duration() == null ? null : Duration.parse(w.duration()),
                        scope,
                        w.reason()));
            }
            return new Windows(windows);
        } catch (JsonParseException | DateTimeException | NullPointerException e) {
            throw new IllegalArgumentException("invalid calendar text: " + e.getMessage(), e);
        }
    }

    /** Returns the canonical text, used in messages and to compare calendars. */
    String text() {
        return text;
    }

    List<Window> windows() {
        return windows;
    }

    /** Returns the occurrences of all windows that overlap the given range, sorted by start. */
    List<Window.Span> spans(Instant from, Instant to) {
        return windows.stream()
                .flatMap(w -> w.spans(from, to).stream())
                .sorted(Comparator.comparingLong(Window.Span::startMs))
                .toList();
    }

    /** Returns the hash that identifies a text in histories and messages; "" for null. */
    static String hash(String text) {
        if (text == null) {
            return "";
        }
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, HASH_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
