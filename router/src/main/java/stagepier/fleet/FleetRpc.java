package stagepier.fleet;

import java.time.Duration;

/**
 * Remote calls between the routers that {@code fleet.toml} names. A call sends a message and waits for the reply; the
 * called member handles it on the task of that link. Calls to one member are sent in order, and a pending call does not
 * block further calls.
 */
public interface FleetRpc {
    /** Maximum size of an encoded message in bytes. */
    int MAX_MESSAGE_BYTES = 64 * 1024;

    /**
     * Thrown when no reply arrives in time, the link breaks or cannot be opened. The called member may have received
     * the call.
     */
    final class NoReplyException extends Exception {
        private static final long serialVersionUID = 1L;

        public NoReplyException(String message) {
            super(message);
        }
    }

    /** Handles the calls of one message family, such as {@code view}. */
    @FunctionalInterface
    interface Handler {
        /**
         * Handles a call. Must not wait for another member: two members that wait for each other would deadlock.
         *
         * @param from name of the calling member
         * @return the reply
         * @throws Message.MalformedException if the call is malformed; the link is closed and the event is counted
         */
        Message answer(String from, Message call) throws Message.MalformedException, InterruptedException;
    }

    /** Registers the handler of a message family. Called once for each family, before {@link #start()}. */
    void answer(String part, Handler handler);

    /** Starts to accept and to make calls. */
    void start();

    /**
     * Calls a member and waits for its reply.
     *
     * @throws NoReplyException     if no reply arrives within the timeout
     * @throws InterruptedException if the tasks are being stopped
     */
    Message call(String member, Message message, Duration timeout) throws NoReplyException, InterruptedException;
}
