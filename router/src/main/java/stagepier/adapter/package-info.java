/** The simulator's wire: binary batches of events on standard input, replies on standard output. */
package stagepier.adapter;
