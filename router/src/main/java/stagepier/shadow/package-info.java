/** Evaluation of a candidate shard map with copies of real requests, the fleet's verdict on it, and its promotion. */
package stagepier.shadow;
