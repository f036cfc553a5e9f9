package stagepier.adapter;

import java.nio.ByteBuffer;

/** One action record of a reply. */
record Action(int code, ByteBuffer fields) {
    int instance() {
        return fields.getShort(0);
    }

    long id() {
        return fields.getLong(2);
    }

    long server() {
        return fields.getInt(10) & 0xffffffffL;
    }
}
