package stagepier.overload;

/**
 * Accounts for the memory of all client links and decides which link may take another request. Input is counted apart
 * from what is owed to clients, so that clients that leave their answers unread do not keep others from sending. Values
 * that are still expected count with their estimated length.
 *
 * <p>What is owed is shared by dynamic thresholds (Choudhury and Hahne, "Dynamic queue length thresholds for
 * shared-memory packet switches", 1998): a link may owe as much as all links together leave free. One link alone may
 * use half of the limit, each of n links one part in n + 1, and one such part remains free for the next link. Performs
 * no I/O and reads no clock.
 */
public final class ClientMemory {
    /** Bytes that links share by dynamic thresholds; a link that owes nothing may exceed them by one request. */
    private static final long SHARED_BYTES_MAX = 18 << 20;
    /** Bytes of unread answers of all links from which on a link that has some gets no further value. */
    private static final long UNREAD_BYTES_MAX = 24 << 20;
    /** Bytes of unread answers and open requests of all links from which on no link may take a request or get a value. */
    private static final long OWED_BYTES_MAX = 28 << 20;

    private final ValueSizeEstimate valueSize;
    private long inputBytes;
    private long outputBytes;
    private long requestBytes;
    private long expectedValues;

    /** @param expectedValue estimated length of a value in bytes until values have come */
    public ClientMemory(int expectedValue) {
        valueSize = new ValueSizeEstimate(expectedValue);
    }

    /** The memory of one link. */
    public final class Account {
        private long input;
        private long output;
        private long requests;
        private long values;

        private Account() {}

        /**
         * Replaces the amounts of this link.
         *
         * @param newInput bytes of buffered input
         * @param newOutput bytes of answers that have not been written
         * @param newRequests bytes of open requests
         * @param newValues number of values that are expected
         */
        public void update(long newInput, long newOutput, long newRequests, long newValues) {
            inputBytes += newInput - input;
            outputBytes += newOutput - output;
            requestBytes += newRequests - requests;
            expectedValues += newValues - values;
            input = newInput;
            output = newOutput;
            requests = newRequests;
            values = newValues;
        }

        /** Returns whether this link may owe another value. */
        public boolean hasShare() {
            long owed = output + requests + (values + 1) * valueSize.bytes();
            return owed <= SHARED_BYTES_MAX - outputBytes - reservedBytes();
        }

        /** Removes this link from the account of all links. */
        public void close() {
            update(0, 0, 0, 0);
        }
    }

    /** Notes the length in bytes of a value that has come. */
    public void onValue(int length) {
        valueSize.onValue(length);
    }

    /** Returns the account of a new link. */
    public Account open() {
        return new Account();
    }

    /** Returns whether so much is held for clients that new requests have to be rejected. */
    public boolean isExhausted() {
        return outputBytes + requestBytes >= OWED_BYTES_MAX;
    }

    /**
     * Returns whether so many answers are unread that a value cannot be kept.
     *
     * @param behindUnread whether the link of the value has unread answers already
     */
    public boolean isFull(boolean behindUnread) {
        return outputBytes >= (behindUnread ? UNREAD_BYTES_MAX : OWED_BYTES_MAX);
    }

    /** Returns the bytes of buffered input of all links. */
    public long inputBytes() {
        return inputBytes;
    }

    /** Returns the bytes in the buffers of all links: input, and answers that have not been written. */
    public long heldBytes() {
        return inputBytes + outputBytes;
    }

    /** Returns the bytes of open requests of all links, and of the values that are expected to them. */
    public long reservedBytes() {
        return requestBytes + expectedValues * valueSize.bytes();
    }
}
