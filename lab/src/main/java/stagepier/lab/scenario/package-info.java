/** Scenario files: their contents, and a TOML reader that reports errors by file, line and key. */
package stagepier.lab.scenario;
