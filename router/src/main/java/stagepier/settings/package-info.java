/** The parser of the settings of the decision module, used by the router and by the simulator's adapter. */
package stagepier.settings;
