/**
 * Looks for schedules of faults under which a fleet breaks a rule or a promise, and makes those that do as small as they can be.
 * Pure:
 * who plays a schedule is handed in.
 */
package stagepier.lab.hunt;
