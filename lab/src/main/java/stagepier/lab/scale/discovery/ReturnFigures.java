package stagepier.lab.scale.discovery;

import stagepier.lab.scale.Figure;

/**
 * The figures under which a return of discovery is written down.
 *
 * @param bytes       that discovery sends until all routers are up to date
 * @param inForce     until the last one is
 * @param calls       that all routers make until then
 * @param connections that they open until then
 * @param notCurrent  routers that were not up to date by the end of the wait
 */
record ReturnFigures(Figure bytes, Figure inForce, Figure calls, Figure connections, Figure notCurrent) {
    /** Of a return at which discovery sends changes only. */
    static final ReturnFigures OF_CHANGES = new ReturnFigures(
            Figure.RETURN_BYTES,
            Figure.RETURN_IN_FORCE,
            Figure.RETURN_CALLS,
            Figure.RETURN_CONNECTIONS,
            Figure.RETURN_NOT_CURRENT);
    /** Of one at which it sends whole lists. */
    static final ReturnFigures OF_WHOLE_LISTS = new ReturnFigures(
            Figure.RETURN_WHOLE_BYTES,
            Figure.RETURN_WHOLE_IN_FORCE,
            Figure.RETURN_WHOLE_CALLS,
            Figure.RETURN_WHOLE_CONNECTIONS,
            Figure.RETURN_WHOLE_NOT_CURRENT);
}
