/** Connections of either side, with a bounded buffer for each direction, and how they are opened and closed. */
package stagepier.link;
