/** How the log is kept readable while many things go wrong at once. */
package stagepier.logging;
