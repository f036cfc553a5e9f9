package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.lang.reflect.RecordComponent;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TimeZone;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;

/** Guards against state that two deployments in one process would share: whatever is static never changes. */
class StaticStateTest {
    private static final Path SOURCES = Path.of("src/main/java");

    @Test
    void whateverIsStaticNeverChanges() throws Exception {
        List<String> faults = new ArrayList<>();
        int seen = 0;
        for (JavaClass c : new ClassFileImporter()
                .withImportOption(new DoNotIncludeTests())
                .importPackages("stagepier")) {
            for (Field field : Class.forName(c.getName()).getDeclaredFields()) {
                // What the compiler adds, such as the table of a switch over an enum, is filled once.
                if (Modifier.isStatic(field.getModifiers()) && !field.isSynthetic()) {
                    seen++;
                    field.setAccessible(true);
                    String fault = fault(field, field.get(null));
                    if (fault != null) {
                        faults.add(c.getName() + "." + field.getName() + " " + fault);
                    }
                }
            }
        }
        assertEquals(List.of(), faults);
        assertTrue(seen > 100, "only " + seen + " were seen");
    }

    private static String fault(Field field, Object value) throws Exception {
        if (!Modifier.isFinal(field.getModifiers())) {
            return "is not final";
        }
        if (value != null && value.getClass().isArray()) {
            return isWritten(field) ? "is an array that is written to" : null;
        }
        return isFixed(value) ? null : "may change: " + value.getClass().getName();
    }

    /** Whether nothing that can be reached from a value ever changes. */
    private static boolean isFixed(Object value) throws Exception {
        if (value == null
                || value instanceof Number && value.getClass().getPackageName().equals("java.lang")
                || value instanceof String
                || value instanceof Boolean
                || value instanceof Character
                || value instanceof Enum
                || value instanceof Duration
                || value instanceof InetAddress
                || value instanceof Pattern
                || value instanceof Logger) {
            return true;
        }
        // Thread-safe and without a setter; and a zone that is only given to a parser, which copies it.
        if (value instanceof com.google.gson.Gson || value instanceof TimeZone) {
            return true;
        }
        if (value instanceof Collection<?> || value instanceof Map<?, ?>) {
            return isUnmodifiable(value);
        }
        if (!value.getClass().isRecord()) {
            return holdsNothing(value.getClass());
        }
        for (RecordComponent component : value.getClass().getRecordComponents()) {
            component.getAccessor().setAccessible(true);
            Object part = component.getAccessor().invoke(value);
            // An empty array has nothing to write to.
            boolean empty = part != null && part.getClass().isArray() && java.lang.reflect.Array.getLength(part) == 0;
            if (!empty && !isFixed(part)) {
                return false;
            }
        }
        return true;
    }

    /** A null object, or a lambda that captures nothing. */
    private static boolean holdsNothing(Class<?> type) {
        for (Class<?> c = type; c != Object.class; c = c.getSuperclass()) {
            for (Field field : c.getDeclaredFields()) {
                if (!Modifier.isStatic(field.getModifiers())) {
                    return false;
                }
            }
        }
        return true;
    }

    private static boolean isUnmodifiable(Object value) {
        String name = value.getClass().getName();
        return name.startsWith("java.util.ImmutableCollections$")
                || name.startsWith("java.util.Collections$Unmodifiable")
                || value == Collections.emptyList()
                || value == Collections.emptyMap();
    }

    /** By the text, for no rule on types tells an array that is read from one that is written. */
    private static boolean isWritten(Field field) throws Exception {
        Class<?> outer = field.getDeclaringClass();
        while (outer.getEnclosingClass() != null) {
            outer = outer.getEnclosingClass();
        }
        Path source = SOURCES.resolve(outer.getName().replace('.', '/') + ".java");
        String element = "\\b" + field.getName() + "\\[[^\\]]*\\]\\s*";
        return Pattern.compile(element + "([-+*/|&^]?=[^=]|\\+\\+|--)|(\\+\\+|--)" + element + "|fill\\("
                        + field.getName() + "\\b")
                .matcher(Files.readString(source))
                .find();
    }
}
