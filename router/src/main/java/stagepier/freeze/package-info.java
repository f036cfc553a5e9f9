/**
 * The freeze calendar: windows in which the topology must not change, agreed on by the fleet, and the changes held
 * meanwhile.
 */
package stagepier.freeze;
