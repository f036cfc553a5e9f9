/**
 * Fits growth to the figures of scale runs, sets them beside the budgets, and checks the capacity page against them.
 */
package stagepier.lab.capacity;
