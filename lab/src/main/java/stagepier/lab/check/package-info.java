/**
 * Whether what a fleet promises was kept, from the histories that its processes wrote, what the lab did to them, and the ledger.
 * Pure: lines in, verdicts out; knows neither files nor clocks.
 */
package stagepier.lab.check;
