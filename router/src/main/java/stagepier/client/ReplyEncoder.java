package stagepier.client;

import java.nio.charset.StandardCharsets;
import stagepier.exchange.Reply;
import stagepier.memcache.Command;
import stagepier.memcache.Protocol;

/** Encodes final answers in the client protocol. */
final class ReplyEncoder {
    static final String FAILED = "SERVER_ERROR failed";

    private ReplyEncoder() {}

    /** Returns the answer to a command. */
    static AnswerBytes encode(Command command, Reply reply) {
        return switch (reply.kind()) {
            case SERVED -> command.isWrite() ? receipt(command, reply) : value(command, reply);
            case THROTTLE -> line("SERVER_ERROR busy" + (reply.retryAfterMs() > 0 ? " " + reply.retryAfterMs() : ""));
            case FAILED -> line(FAILED);
        };
    }

    /** Returns an answer of one line. */
    static AnswerBytes line(String text) {
        return new AnswerBytes(Protocol.line(text));
    }

    private static AnswerBytes receipt(Command command, Reply reply) {
        return line("HD O" + command.id() + " c" + new String(reply.body(), StandardCharsets.ISO_8859_1));
    }

    private static AnswerBytes value(Command command, Reply reply) {
        return reply.flow() != null
                ? new AnswerBytes(head(command, reply.flow().length()), reply.flow())
                : new AnswerBytes(head(command, reply.body().length), reply.body());
    }

    /** Returns the answer to a read whose streamed value was collected. */
    static AnswerBytes value(Command command, byte[] value) {
        return new AnswerBytes(head(command, value.length), value);
    }

    private static byte[] head(Command command, int length) {
        return Protocol.line("VA " + length + " O" + command.id());
    }
}
