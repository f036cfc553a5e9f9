/** The operators' console: a line protocol, its commands, and the connections on which it is spoken. */
package stagepier.console;
