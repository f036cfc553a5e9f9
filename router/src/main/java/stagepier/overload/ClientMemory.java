package stagepier.overload;

/**
 * Accounts for the memory of all client links and decides which link may take another request. Input is counted apart
 * from what is owed to clients, so that clients that leave their answers unread do not keep others from sending.
 *
 * <p>What is owed is shared by dynamic thresholds (Choudhury and Hahne, "Dynamic queue length thresholds for
 * shared-memory packet switches", 1998): a link may owe as much as all links together leave free. One link alone may
 * use half of the limit, each of n links one part in n + 1, and one such part remains free for the next link. Performs
 * no I/O and reads no clock.
 */
public final class ClientMemory {
    /** Limit for what is owed on all links, in bytes; a link that owes nothing may exceed it by one request. */
    public static final long OWED_BYTES_MAX = 18 << 20;
    /** Bytes owed on all links from which on no link may take a request: the rest of the heap is needed elsewhere. */
    public static final long OWED_BYTES_LIMIT = 28 << 20;

    private long inputBytes;
    private long outputBytes;
    private long reservedBytes;

    /** The memory of one link. */
    public final class Account {
        private long input;
        private long output;
        private long reserved;

        private Account() {}

        /**
         * Replaces the amounts of this link.
         *
         * @param newInput bytes of buffered input
         * @param newOutput bytes of answers that have not been written
         * @param newReserved bytes of open requests and of answers that are expected to them
         */
        public void update(long newInput, long newOutput, long newReserved) {
            inputBytes += newInput - input;
            outputBytes += newOutput - output;
            reservedBytes += newReserved - reserved;
            input = newInput;
            output = newOutput;
            reserved = newReserved;
        }

        /** Returns whether this link may owe that many bytes more. */
        public boolean hasShare(long bytes) {
            return output + reserved + bytes <= OWED_BYTES_MAX - owedBytes();
        }

        /** Removes this link from the account of all links. */
        public void close() {
            update(0, 0, 0);
        }
    }

    /** Returns the account of a new link. */
    public Account open() {
        return new Account();
    }

    /** Returns whether so much is owed that new requests have to be rejected. */
    public boolean isExhausted() {
        return owedBytes() >= OWED_BYTES_LIMIT;
    }

    private long owedBytes() {
        return outputBytes + reservedBytes;
    }

    /** Returns the bytes of buffered input of all links. */
    public long inputBytes() {
        return inputBytes;
    }

    /** Returns the bytes in the buffers of all links: input, and answers that have not been written. */
    public long heldBytes() {
        return inputBytes + outputBytes;
    }

    /** Returns the bytes of open requests of all links, and of the answers that are expected to them. */
    public long reservedBytes() {
        return reservedBytes;
    }
}
