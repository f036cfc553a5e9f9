package stagepier.freeze;

import java.util.Locale;

/**
 * The set of changes that a window forbids.
 *
 * @param type all changes, those of one zone, or those of one kind
 * @param name name of the zone, or of the kind in lower case; "" for all
 */
record Scope(Type type, String name) {
    enum Type {
        ALL,
        ZONE,
        KIND
    }

    private static final String ZONE = "zone:";
    private static final String KIND = "kind:";

    /** @return null if the text is not {@code all}, {@code zone:NAME} or {@code kind:NAME} */
    static Scope parse(String text) {
        if (text.equals("all")) {
            return new Scope(Type.ALL, "");
        }
        if (text.startsWith(ZONE) && text.length() > ZONE.length()) {
            return new Scope(Type.ZONE, text.substring(ZONE.length()));
        }
        if (text.startsWith(KIND)) {
            String kind = text.substring(KIND.length());
            for (Change.Kind k : Change.Kind.values()) {
                if (k.name().toLowerCase(Locale.ROOT).equals(kind)) {
                    return new Scope(Type.KIND, kind);
                }
            }
        }
        return null;
    }

    /**
     * Whether the window forbids the change. A change without a zone, such as a move of discovery, may affect any zone.
     */
    boolean covers(Change change) {
        return switch (type) {
            case ALL -> true;
            case ZONE -> change.zone().isEmpty() || change.zone().equals(name);
            case KIND -> change.kind().name().equalsIgnoreCase(name);
        };
    }

    @Override
    public String toString() {
        return switch (type) {
            case ALL -> "all";
            case ZONE -> ZONE + name;
            case KIND -> KIND + name;
        };
    }
}
