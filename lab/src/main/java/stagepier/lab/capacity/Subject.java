package stagepier.lab.capacity;

import stagepier.lab.scale.Conversation;
import stagepier.lab.scale.Figure;

/** What a series of values is about: a figure of one conversation, or a total over several. */
public record Subject(String conversation, String figure, String unit) {
    /** Bytes in and out together, over all conversations that are counted for themselves. */
    public static final Subject CONTROL_BYTES = new Subject("ALL_CONTROL", "BYTES_IN_AND_OUT", Figure.BYTES_IN.unit());

    public static Subject of(Conversation conversation, Figure figure) {
        return new Subject(conversation.name(), figure.name(), figure.unit());
    }

    public boolean isFigure(Figure which) {
        return figure.equals(which.name());
    }

    /** For tables and file names alike. */
    @Override
    public String toString() {
        return conversation + " " + figure;
    }
}
