package stagepier.overload;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Admits long commands to a memory limit that all client links share, in the order in which they came. A command is
 * admitted with all the memory that it needs, so that it is never stopped in the middle for want of memory; until then
 * its link waits, which is not the client's fault. Commands on links that are owed answers may use half of the limit,
 * so that they do not keep the first commands of other links from being read. Performs no I/O and reads no clock.
 */
public final class InputAdmission {
    private final long limit;
    private long admittedBytes;
    /** Claims that wait for memory, the oldest first. */
    private final ArrayDeque<Claim> waiting = new ArrayDeque<>();

    /** @param limit bytes that all admitted commands may take together; a single one is always admitted */
    public InputAdmission(long limit) {
        this.limit = limit;
    }

    /** The claim of one link, for one command at a time. */
    public final class Claim {
        private final Runnable onAdmitted;
        /** Bytes that are claimed; 0 if the link has no long command. */
        private int bytes;

        private boolean owed;
        private boolean admitted;

        private Claim(Runnable onAdmitted) {
            this.onAdmitted = onAdmitted;
        }

        /**
         * Claims memory for a command, unless that was done before.
         *
         * @param needed bytes that the command takes when it is whole
         * @param isOwed whether the link is owed answers to earlier commands
         */
        public void request(int needed, boolean isOwed) {
            owed = isOwed;
            if (bytes == 0) {
                bytes = needed;
                if (hasRoom(this) && !isBehindOthers()) {
                    admit();
                    return;
                }
                waiting.add(this);
            } else if (!admitted) {
                admitWaiting();
            }
        }

        /** Gives the memory back, or stops waiting for it; has no effect without a claim. */
        public void release() {
            if (bytes == 0) {
                return;
            }
            if (admitted) {
                admittedBytes -= bytes;
            } else {
                waiting.remove(this);
            }
            admitted = false;
            bytes = 0;
            admitWaiting();
        }

        public boolean isAdmitted() {
            return admitted;
        }

        /** Returns whether the link has to wait for memory before it reads on. */
        public boolean isWaiting() {
            return bytes > 0 && !admitted;
        }

        private boolean isBehindOthers() {
            return owed ? !waiting.isEmpty() : waiting.stream().anyMatch(other -> !other.owed);
        }

        private void admit() {
            admitted = true;
            admittedBytes += bytes;
        }
    }

    /**
     * Returns the claim of a new link.
     *
     * @param onAdmitted called when a command that had to wait is admitted, while another link gives memory back
     */
    public Claim open(Runnable onAdmitted) {
        return new Claim(onAdmitted);
    }

    private boolean hasRoom(Claim claim) {
        return admittedBytes == 0 || admittedBytes + claim.bytes <= (claim.owed ? limit / 2 : limit);
    }

    /** Admits claims in their order; one of a link that is owed answers does not hold up those behind it. */
    private void admitWaiting() {
        for (Iterator<Claim> claims = waiting.iterator(); claims.hasNext(); ) {
            Claim next = claims.next();
            if (hasRoom(next)) {
                claims.remove();
                next.admit();
                next.onAdmitted.run();
            } else if (!next.owed) {
                return;
            }
        }
    }

    /** Returns the number of links that wait for memory. */
    public int waiting() {
        return waiting.size();
    }
}
