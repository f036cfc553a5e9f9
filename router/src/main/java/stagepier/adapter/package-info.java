/** Adapter to the simulator: reads binary batches of events from standard input, writes replies to standard output. */
package stagepier.adapter;
