package stagepier.freeze;

import java.util.Locale;

/**
 * Which changes a window forbids.
 *
 * @param what all, those of one zone, or those of one kind
 * @param of   the zone's name, or the kind's in small letters; "" for all
 */
record Scope(What what, String of) {
    enum What {
        ALL,
        ZONE,
        KIND
    }

    private static final String ZONE = "zone:";
    private static final String KIND = "kind:";

    /** @return null where it is none of {@code all}, {@code zone:NAME} and {@code kind:NAME} */
    static Scope parse(String text) {
        if (text.equals("all")) {
            return new Scope(What.ALL, "");
        }
        if (text.startsWith(ZONE) && text.length() > ZONE.length()) {
            return new Scope(What.ZONE, text.substring(ZONE.length()));
        }
        if (text.startsWith(KIND)) {
            String kind = text.substring(KIND.length());
            for (Change.Kind k : Change.Kind.values()) {
                if (k.name().toLowerCase(Locale.ROOT).equals(kind)) {
                    return new Scope(What.KIND, kind);
                }
            }
        }
        return null;
    }

    /** A change of no zone, such as another discovery, may touch any zone. */
    boolean covers(Change change) {
        return switch (what) {
            case ALL -> true;
            case ZONE -> change.zone().isEmpty() || change.zone().equals(of);
            case KIND -> change.kind().name().equalsIgnoreCase(of);
        };
    }

    @Override
    public String toString() {
        return switch (what) {
            case ALL -> "all";
            case ZONE -> ZONE + of;
            case KIND -> KIND + of;
        };
    }
}
