package stagepier.lab.scale;

/**
 * What a load report says of one cache server.
 *
 * @param server   its number, of 32 bits
 * @param inFlight attempts of the sender in flight there
 */
record ServerLoad(int server, int inFlight, boolean circuitOpen) {}
