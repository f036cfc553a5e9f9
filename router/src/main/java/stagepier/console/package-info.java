/** The operators' console: a line protocol, its commands, and its connections. */
package stagepier.console;
