/** A candidate shard map that is tried beside the real one, and the fleet's verdict on it. */
package stagepier.shadow;
