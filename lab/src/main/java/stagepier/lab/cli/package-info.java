/** The command line of the project and of the laboratory. */
package stagepier.lab.cli;
