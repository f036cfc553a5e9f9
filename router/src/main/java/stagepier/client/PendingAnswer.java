package stagepier.client;

import stagepier.exchange.Exchange;
import stagepier.exchange.Reply;
import stagepier.exchange.ReplyListener;

/** The position of one answer in the order of a link's commands. */
final class PendingAnswer implements ReplyListener {
    /** The request that is open; null once its answer is known, and for a command that is no request. */
    Exchange exchange;
    /** Null until the answer is known. */
    AnswerBytes answer;
    /** The large value of its answer, if it is collected before the answer begins; otherwise null. */
    WholeValue wholeValue;
    /** Bytes of the request that are held until its answer is known; 0 for a command that is no request. */
    int requestBytes;
    /** Whether its answer may have a value. */
    boolean isRead;

    private final ClientLink link;

    PendingAnswer(ClientLink link) {
        this.link = link;
    }

    @Override
    public void answered(Exchange x, Reply reply) {
        link.onReply(this, x, reply);
    }

    @Override
    public boolean isConnected() {
        return link.checkConnected();
    }

    /** Gives up a large value, or the memory of one that is whole. */
    void releaseValue() {
        if (wholeValue != null) {
            wholeValue.giveUp();
            wholeValue.release();
        }
    }

    /** Returns the bytes of memory of a large value that is being collected. */
    int collectingBytes() {
        return wholeValue == null ? 0 : wholeValue.collectingBytes();
    }
}
