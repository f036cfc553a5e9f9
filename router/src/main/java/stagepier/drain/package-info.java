/** The life cycle of a process: starting, serving, paused and ending. Free of I/O and clock. */
package stagepier.drain;
