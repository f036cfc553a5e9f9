/** Log lines about failures: limited in their rate, and written without failing themselves. */
package stagepier.logging;
