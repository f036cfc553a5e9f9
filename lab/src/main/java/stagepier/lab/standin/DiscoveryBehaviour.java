package stagepier.lab.standin;

/**
 * How discovery treats calls: as an agent on the router's own machine, to which lists are pushed, or as one service for
 * all routers, which is asked.
 *
 * @param endsWatches    an outage resets what is open, and calls made meanwhile; else they stay silent until it is over
 * @param perCall        seconds of work for each call, one after the other
 * @param perLine        seconds of work for each entry of an answer
 * @param longestWait    seconds after which a call that still waits for its turn is answered with 503
 * @param mostWaiting    calls that may wait for their turn; further ones are reset
 * @param noticesEnded   a call whose connection has ended costs nothing when its turn comes; else it costs as much
 */
public record DiscoveryBehaviour(
        boolean endsWatches,
        double perCall,
        double perLine,
        double longestWait,
        int mostWaiting,
        boolean noticesEnded) {
    /** An agent beside the router: answers at once, at no cost, and is silent in an outage. */
    public static final DiscoveryBehaviour PUSHED =
            new DiscoveryBehaviour(false, 0, 0, Double.POSITIVE_INFINITY, Integer.MAX_VALUE, true);
}
