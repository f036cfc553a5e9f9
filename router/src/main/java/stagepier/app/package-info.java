/** The program: command line, configuration, start, reload and stop of a router, and the wiring of all other parts. */
package stagepier.app;
