package stagepier.lab.standin;

import stagepier.lab.ledger.Event;

/** A router's shadow asks cache nodes under ids of its own, which begin with a letter that no client's id has. */
final class Copies {
    private Copies() {}

    /** A request's number by its id on the wire; of a copy one below 0. */
    static long number(String id) {
        return id.startsWith("s") ? Event.COPIES | Tokens.of(id) : Long.parseUnsignedLong(id, 16);
    }

    static boolean is(long request) {
        return request < 0;
    }
}
