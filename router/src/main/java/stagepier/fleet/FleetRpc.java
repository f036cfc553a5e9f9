package stagepier.fleet;

import java.time.Duration;

/**
 * Calls between the routers that {@code fleet.toml} names. A call is a message and waits for the reply; the one that is called
 * answers on the task of that link. Calls to one member go out in their order; a call that is out keeps no other one from
 * being made.
 */
public interface FleetRpc {
    /** Longest message in bytes, as written. */
    int MAX_MESSAGE_BYTES = 64 * 1024;

    /** No reply came in time, or the link broke, or could not be opened; the call may have been heard. */
    final class NoReplyException extends Exception {
        private static final long serialVersionUID = 1L;

        public NoReplyException(String message) {
            super(message);
        }
    }

    /** Answers the calls for one part. */
    @FunctionalInterface
    interface Handler {
        /**
         * Must not wait for another member: two that wait for each other stand still.
         *
         * @param from name of the member that calls
         * @return the reply
         * @throws Message.MalformedException the call makes no sense; the link is closed and that is counted
         */
        Message answer(String from, Message call) throws Message.MalformedException, InterruptedException;
    }

    /** Before {@link #start()}, once a part. */
    void answer(String part, Handler answerer);

    /** From here on others are heard. */
    void start();

    /**
     * Calls a member and waits for its reply.
     *
     * @throws NoReplyException      no reply in time
     * @throws InterruptedException the tasks are being stopped
     */
    Message call(String member, Message message, Duration most) throws NoReplyException, InterruptedException;
}
