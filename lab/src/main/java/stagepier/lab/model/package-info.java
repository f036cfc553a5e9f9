/** Models of load, cache nodes and the origin: deterministic for a seed, and free of I/O and clock. */
package stagepier.lab.model;
