/**
 * Application entry point: command line, configuration, start, reload and stop of a router, and wiring of its
 * components.
 */
package stagepier.app;
