/** Time and tasks for what runs beside the event loop: threads in service, one task at a time in tests. */
package stagepier.tasks;
