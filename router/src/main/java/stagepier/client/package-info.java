/** The client side: the listening socket, client connections, and answers written in the order of the commands. */
package stagepier.client;
