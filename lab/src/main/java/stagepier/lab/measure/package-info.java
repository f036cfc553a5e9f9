/** Time series of answers and latencies of a run. */
package stagepier.lab.measure;
