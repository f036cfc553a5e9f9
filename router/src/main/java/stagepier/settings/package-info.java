/** Parser for the settings of the decision module; used by the router and by the adapter to the simulator. */
package stagepier.settings;
