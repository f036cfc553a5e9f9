/** What the HTTP conversations of a fleet come to on the wire. */
package stagepier.lab.traffic;
