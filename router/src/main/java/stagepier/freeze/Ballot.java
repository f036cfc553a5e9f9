package stagepier.freeze;

/**
 * The number of one attempt of one router to have an entry accepted. Unique, since a restarted router has another
 * incarnation.
 *
 * @param round       grows with each attempt
 * @param name        name of the router
 * @param incarnation incarnation of the router
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
