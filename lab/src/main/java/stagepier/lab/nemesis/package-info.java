/** Faults on the links between processes, and what they do to each message. Free of I/O and clock. */
package stagepier.lab.nemesis;
