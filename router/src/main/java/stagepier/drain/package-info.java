/** The life cycle of a process: starting, serving, paused and ending. Performs no I/O and reads no clock. */
package stagepier.drain;
