package stagepier.freeze;

/**
 * One attempt of one router to have something accepted; never used twice, for a router that starts again has another incarnation.
 *
 * @param round       grows with each attempt
 * @param name        of the router
 * @param incarnation of it
 */
record Ballot(long round, String name, long incarnation) implements Comparable<Ballot> {
    static final Ballot ZERO = new Ballot(0, "", 0);

    @Override
    public int compareTo(Ballot o) {
        int byRound = Long.compare(round, o.round);
        int byName = byRound != 0 ? byRound : name.compareTo(o.name);
        return byName != 0 ? byName : Long.compare(incarnation, o.incarnation);
    }
}
