/** Time and tasks for work outside the event loop: threads in production, one task at a time in tests. */
package stagepier.tasks;
