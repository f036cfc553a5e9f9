package stagepier.memcache;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The bytes of one direction of one connection. Starts with nothing, doubles up to one largest message and gives back
 * what a large message took once it is empty; it never drops: who finds it full must stop putting, which for a socket
 * means to stop reading.
 */
public final class RingBuffer {
    private static final int AT_FIRST = 512;
    /** An empty buffer larger than this is given back. Guards against one large message on each of many connections. */
    private static final int KEPT = 4096;

    private static final byte[] NONE = {};

    private byte[] bytes = NONE;
    private int head;
    private int size;

    public int size() {
        return size;
    }

    /** Bytes of memory that it takes now. */
    public int capacity() {
        return bytes.length;
    }

    /** Bytes that can still be put, growth included. */
    public int free() {
        return Protocol.LARGEST_MESSAGE - size;
    }

    public byte at(int i) {
        return bytes[place(i)];
    }

    /** Index of the first such byte from {@code from} on, or -1. */
    public int indexOf(byte b, int from) {
        for (int i = from; i < size; i++) {
            if (at(i) == b) {
                return i;
            }
        }
        return -1;
    }

    public void put(byte[] source) {
        put(ByteBuffer.wrap(source));
    }

    /** @throws IllegalStateException where {@link #free} was not heeded */
    public void put(ByteBuffer source) {
        int n = source.remaining();
        if (n > free()) {
            throw new IllegalStateException(n + " bytes do not fit " + free() + " free ones");
        }
        if (n > bytes.length - size) {
            grow(size + n);
        }
        int tail = place(size);
        int first = Math.min(n, bytes.length - tail);
        source.get(bytes, tail, first);
        source.get(bytes, 0, n - first);
        size += n;
    }

    /** Takes the first bytes of another, at most so many, as far as there is room; returns how many. */
    public int take(RingBuffer from, int most) {
        int n = Math.min(Math.min(most, from.size), free());
        for (int left = n; left > 0; ) {
            ByteBuffer piece = from.front();
            piece.limit(piece.position() + Math.min(left, piece.remaining()));
            int moved = piece.remaining();
            put(piece);
            from.skip(moved);
            left -= moved;
        }
        return n;
    }

    /** The first bytes, as far as they lie in one piece; a view that is good until the next put or skip. */
    public ByteBuffer front() {
        return ByteBuffer.wrap(bytes, head, Math.min(size, bytes.length - head));
    }

    public void skip(int n) {
        head = place(n);
        size -= n;
        if (size == 0 && bytes.length > KEPT) {
            bytes = NONE;
            head = 0;
        }
    }

    public byte[] copy(int from, int n) {
        byte[] copy = new byte[n];
        copy(from, copy, 0, n);
        return copy;
    }

    /** Copies the first bytes to a place in an array; they stay here. */
    void copyTo(byte[] to, int at, int n) {
        copy(0, to, at, n);
    }

    private void copy(int from, byte[] to, int at, int n) {
        int start = place(from);
        int first = Math.min(n, bytes.length - start);
        System.arraycopy(bytes, start, to, at, first);
        System.arraycopy(bytes, 0, to, at + first, n - first);
    }

    public String text(int from, int n) {
        return new String(copy(from, n), StandardCharsets.ISO_8859_1);
    }

    private int place(int i) {
        int at = head + i;
        return at < bytes.length ? at : at - bytes.length;
    }

    private void grow(int need) {
        int to = Math.max(AT_FIRST, bytes.length);
        while (to < need) {
            to = Math.min(to * 2, Protocol.LARGEST_MESSAGE);
        }
        byte[] larger = new byte[to];
        System.arraycopy(copy(0, size), 0, larger, 0, size);
        bytes = larger;
        head = 0;
    }
}
