package stagepier.memcache;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Buffers the bytes of one direction of one connection. It starts without memory, doubles up to the size of the largest
 * message, and frees the memory that a large message took once it is empty. It never drops bytes: when it is full, the
 * caller must stop adding, which for a socket means to stop reading.
 */
public final class RingBuffer {
    private static final int INITIAL_BYTES = 512;
    /**
     * An empty buffer larger than this is freed, so that a large message on each of many connections leaves no memory
     * in use.
     */
    private static final int MAX_RETAINED_BYTES = 4096;

    private static final byte[] EMPTY = {};

    private byte[] bytes = EMPTY;
    private int head;
    private int size;

    public int size() {
        return size;
    }

    /** Returns the bytes of memory in use. */
    public int capacity() {
        return bytes.length;
    }

    /** Returns the memory that a buffer takes which has grown to hold that many bytes. */
    public static int capacityFor(int size) {
        int capacity = INITIAL_BYTES;
        while (capacity < size) {
            capacity = Math.min(capacity * 2, Protocol.LARGEST_MESSAGE);
        }
        return capacity;
    }

    /** Returns how many more bytes can be added, including by growing. */
    public int free() {
        return Protocol.LARGEST_MESSAGE - size;
    }

    public byte at(int i) {
        return bytes[physicalIndex(i)];
    }

    /** Returns the index of the first occurrence of a byte at or after {@code from}, or -1. */
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

    /** @throws IllegalStateException if the source has more bytes than {@link #free} */
    public void put(ByteBuffer source) {
        int n = source.remaining();
        if (n > free()) {
            throw new IllegalStateException(n + " bytes exceed the " + free() + " bytes free");
        }
        if (n > bytes.length - size) {
            grow(size + n);
        }
        int tail = physicalIndex(size);
        int first = Math.min(n, bytes.length - tail);
        source.get(bytes, tail, first);
        source.get(bytes, 0, n - first);
        size += n;
    }

    /** Moves up to {@code limit} bytes from another buffer, as far as there is room; returns their number. */
    public int take(RingBuffer from, int limit) {
        int n = Math.min(Math.min(limit, from.size), free());
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

    /** Returns a view of the first contiguous bytes, valid until the next put or skip. */
    public ByteBuffer front() {
        return ByteBuffer.wrap(bytes, head, Math.min(size, bytes.length - head));
    }

    public void skip(int n) {
        head = physicalIndex(n);
        size -= n;
        if (size == 0 && bytes.length > MAX_RETAINED_BYTES) {
            bytes = EMPTY;
            head = 0;
        }
    }

    public byte[] copy(int from, int n) {
        byte[] copy = new byte[n];
        copy(from, copy, 0, n);
        return copy;
    }

    /** Copies the first bytes into an array; they remain in this buffer. */
    void copyTo(byte[] to, int at, int n) {
        copy(0, to, at, n);
    }

    private void copy(int from, byte[] to, int at, int n) {
        int start = physicalIndex(from);
        int first = Math.min(n, bytes.length - start);
        System.arraycopy(bytes, start, to, at, first);
        System.arraycopy(bytes, 0, to, at + first, n - first);
    }

    public String text(int from, int n) {
        return new String(copy(from, n), StandardCharsets.ISO_8859_1);
    }

    private int physicalIndex(int i) {
        int at = head + i;
        return at < bytes.length ? at : at - bytes.length;
    }

    private void grow(int needed) {
        byte[] larger = new byte[capacityFor(needed)];
        System.arraycopy(copy(0, size), 0, larger, 0, size);
        bytes = larger;
        head = 0;
    }
}
