package stagepier.lab.model;

/**
 * One request as it was drawn ahead.
 *
 * @param index  its place in the plan
 * @param at     seconds after the start of the load at which it is to be sent
 * @param router which router it goes to
 * @param kind   index of its class
 * @param key    what it concerns
 * @param tenant index of its tenant
 */
public record PlannedRequest(int index, double at, int router, int kind, long key, int tenant) {}
