package stagepier.bans;

/**
 * What staff last said of one cache server.
 *
 * @param server its id as the list has it
 * @param out    taken out, or put back
 * @param since  when that was said, in Unix time in seconds
 */
public record Ban(String server, boolean out, double since) {}
