package stagepier.lab.capacity;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import stagepier.lab.scale.Conversation;
import stagepier.lab.scale.Figure;
import stagepier.lab.scale.Sample;

/** Reads results files and checks them; the first thing that makes no sense is told with file and key. */
public final class ResultsReader {
    private static final String ENDING = "results.json";
    private static final int DEPTH_MOST = 6;

    private ResultsReader() {}

    /** The results files that paths name: files themselves, or all of a folder whose names end with results.json. */
    public static List<Path> find(List<Path> paths) throws IOException {
        List<Path> all = new ArrayList<>();
        for (Path path : paths) {
            if (!Files.exists(path)) {
                throw new NoSuchFileException(path.toString());
            }
            if (!Files.isDirectory(path)) {
                all.add(path);
                continue;
            }
            List<Path> below;
            try (Stream<Path> files = Files.walk(path, DEPTH_MOST)) {
                // A folder of that ending holds a run that is not whole.
                below = files.filter(f -> f.getFileName().toString().endsWith(ENDING) && Files.isRegularFile(f))
                        .filter(f -> !f.toAbsolutePath().getParent().toString().endsWith(".partial"))
                        .sorted()
                        .toList();
            }
            if (below.isEmpty()) {
                throw new IOException(path + ": no file there whose name ends with " + ENDING);
            }
            all.addAll(below);
        }
        return all.stream().distinct().toList();
    }

    public static ResultsFile read(Path file) throws IOException {
        return parse(file.toString(), Files.readString(file));
    }

    static ResultsFile parse(String name, String text) throws InvalidResultsException {
        JsonElement whole;
        try {
            whole = JsonParser.parseString(text);
        } catch (JsonParseException e) {
            throw new InvalidResultsException(
                    name, "", "not JSON: " + e.getMessage().replaceAll("\\s+", " "));
        }
        if (!whole.isJsonObject()) {
            throw new InvalidResultsException(name, "", "not the results of scale runs");
        }
        Keys keys = new Keys(name, "", whole.getAsJsonObject());
        JsonArray entries = keys.array("samples");
        List<Sample> samples = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            String key = "samples[" + i + "]";
            if (!entries.get(i).isJsonObject()) {
                throw new InvalidResultsException(name, key, "must be an object");
            }
            samples.add(sample(new Keys(name, key + ".", entries.get(i).getAsJsonObject())));
        }
        if (samples.isEmpty()) {
            throw new InvalidResultsException(name, "samples", "holds none");
        }
        JsonArray reasons = keys.array("invalid");
        List<String> invalid = new ArrayList<>();
        for (int i = 0; i < reasons.size(); i++) {
            invalid.add(keys.text("invalid[" + i + "]", reasons.get(i)));
        }
        return new ResultsFile(
                name,
                keys.text("command", keys.element("command")),
                (int) keys.whole("cpu_cores", 1, 100_000),
                List.copyOf(samples),
                List.copyOf(invalid));
    }

    private static Sample sample(Keys keys) throws InvalidResultsException {
        return new Sample(
                keys.name("conversation", Conversation.class),
                keys.name("figure", Figure.class),
                (int) keys.whole("routers", 1, Crossing.ROUTERS_MOST),
                keys.whole("seed", Long.MIN_VALUE, Long.MAX_VALUE),
                keys.value("value"));
    }

    /** The keys of one object, each with its own error. */
    private record Keys(String file, String before, JsonObject object) {
        private InvalidResultsException bad(String key, String why) {
            return new InvalidResultsException(file, before + key, why);
        }

        JsonElement element(String key) throws InvalidResultsException {
            JsonElement element = object.get(key);
            if (element == null || element.isJsonNull()) {
                throw bad(key, "is missing");
            }
            return element;
        }

        JsonArray array(String key) throws InvalidResultsException {
            JsonElement element = element(key);
            if (!element.isJsonArray()) {
                throw bad(key, "must be a list");
            }
            return element.getAsJsonArray();
        }

        String text(String key, JsonElement element) throws InvalidResultsException {
            if (!(element instanceof JsonPrimitive p) || !p.isString()) {
                throw bad(key, "must be a text");
            }
            return element.getAsString();
        }

        long whole(String key, long least, long most) throws InvalidResultsException {
            try {
                long whole = number(key).longValueExact();
                if (whole >= least && whole <= most) {
                    return whole;
                }
            } catch (ArithmeticException e) {
                // Not a whole number: told below.
            }
            throw bad(key, "must be a whole number from " + least + " to " + most);
        }

        double value(String key) throws InvalidResultsException {
            double value = number(key).doubleValue();
            if (!Double.isFinite(value) || value < 0) {
                throw bad(key, "must be a finite number that is not negative");
            }
            return value;
        }

        private BigDecimal number(String key) throws InvalidResultsException {
            if (element(key) instanceof JsonPrimitive p && p.isNumber()) {
                try {
                    return p.getAsBigDecimal();
                } catch (NumberFormatException e) {
                    throw bad(key, "must be a finite number");
                }
            }
            throw bad(key, "must be a number");
        }

        <E extends Enum<E>> E name(String key, Class<E> of) throws InvalidResultsException {
            String name = text(key, element(key));
            return Arrays.stream(of.getEnumConstants())
                    .filter(e -> e.name().equals(name))
                    .findFirst()
                    .orElseThrow(() -> bad(
                            key,
                            "must be one of "
                                    + String.join(
                                            ", ",
                                            Arrays.stream(of.getEnumConstants())
                                                    .map(Enum::name)
                                                    .toList())));
        }
    }
}
