/** A calendar of windows in which topology must not change, agreed by the fleet, and what is held meanwhile. */
package stagepier.freeze;
