/** Stand-ins on loopback sockets for cache nodes, discovery and clients, and relays between processes. */
package stagepier.lab.standin;
