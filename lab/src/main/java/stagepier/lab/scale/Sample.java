package stagepier.lab.scale;

/**
 * One figure measured at one size of the fleet with one seed.
 *
 * @param routers how many routers the fleet had, real and hollow together
 * @param value   in the unit of the figure, of one router if the figure does not say otherwise
 */
public record Sample(Conversation conversation, Figure figure, int routers, long seed, double value) {}
