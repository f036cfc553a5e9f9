/** Rate limits for log lines, so that the log stays readable when many operations fail at once. */
package stagepier.logging;
