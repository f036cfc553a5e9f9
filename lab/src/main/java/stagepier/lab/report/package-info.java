/** Results of runs: summary files, charts, an HTML page, and the comparison of two sets of runs. */
package stagepier.lab.report;
