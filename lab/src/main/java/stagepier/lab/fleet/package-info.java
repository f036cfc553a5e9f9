/** Runs of a scenario against real router processes: start and stop, load, scripted faults and results. */
package stagepier.lab.fleet;
