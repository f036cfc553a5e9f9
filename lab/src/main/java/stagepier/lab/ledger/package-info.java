/** Checks a run against the rules of routing, from what clients, nodes and discovery saw. Free of I/O and clock. */
package stagepier.lab.ledger;
