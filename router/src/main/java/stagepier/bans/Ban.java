package stagepier.bans;

/**
 * The latest decision of the operators on one cache server.
 *
 * @param server its id in the list
 * @param out    true if it was taken out, false if it was put back
 * @param since  when that was decided, in Unix time in seconds
 */
public record Ban(String server, boolean out, double since) {}
