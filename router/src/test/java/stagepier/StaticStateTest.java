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

/** Two deployments in one process must share no mutable state, so static fields must be immutable. */
class StaticStateTest {
    private static final Path SOURCES = Path.of("src/main/java");

    @Test
    void staticFieldsHoldImmutableState() throws Exception {
        List<String> faults = new ArrayList<>();
        int checkedFields = 0;
        for (JavaClass c : new ClassFileImporter()
                .withImportOption(new DoNotIncludeTests())
                .importPackages("stagepier")) {
            for (Field field : Class.forName(c.getName()).getDeclaredFields()) {
                // Fields added by the compiler, such as the table of a switch over an enum, are filled once.
                if (Modifier.isStatic(field.getModifiers()) && !field.isSynthetic()) {
                    checkedFields++;
                    field.setAccessible(true);
                    String fault = fault(field, field.get(null));
                    if (fault != null) {
                        faults.add(c.getName() + "." + field.getName() + " " + fault);
                    }
                }
            }
        }
        assertEquals(List.of(), faults);
        assertTrue(checkedFields > 100, "fields checked: " + checkedFields);
    }

    private static String fault(Field field, Object value) throws Exception {
        if (!Modifier.isFinal(field.getModifiers())) {
            return "is not final";
        }
        if (value != null && value.getClass().isArray()) {
            return isWritten(field) ? "is an array that is written to" : null;
        }
        return isImmutable(value) ? null : "may change: " + value.getClass().getName();
    }

    /** Returns whether a value and everything reachable from it is immutable. */
    private static boolean isImmutable(Object value) throws Exception {
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
        // Gson is thread-safe and has no setter; the time zone is only passed to a parser, which copies it.
        if (value instanceof com.google.gson.Gson || value instanceof TimeZone) {
            return true;
        }
        if (value instanceof Collection<?> || value instanceof Map<?, ?>) {
            return isUnmodifiable(value);
        }
        if (!value.getClass().isRecord()) {
            return hasNoInstanceFields(value.getClass());
        }
        for (RecordComponent component : value.getClass().getRecordComponents()) {
            component.getAccessor().setAccessible(true);
            Object part = component.getAccessor().invoke(value);
            // An empty array has no elements to write.
            boolean empty = part != null && part.getClass().isArray() && java.lang.reflect.Array.getLength(part) == 0;
            if (!empty && !isImmutable(part)) {
                return false;
            }
        }
        return true;
    }

    /** Returns true for a stateless object or a lambda that captures nothing. */
    private static boolean hasNoInstanceFields(Class<?> type) {
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

    /** Searches the source text, since types do not distinguish arrays that are read from arrays that are written. */
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
