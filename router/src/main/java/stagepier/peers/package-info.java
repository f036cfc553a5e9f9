/** Messages between routers about requests in flight and open circuits: encoding, sum, and UDP socket. */
package stagepier.peers;
