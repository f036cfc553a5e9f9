/** Measures how the cost of a router's control conversations grows with the number of routers. */
package stagepier.lab.scale;
