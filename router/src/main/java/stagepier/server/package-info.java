/** The server side: connection pools for the cache servers, and the attempts that are carried out on them. */
package stagepier.server;
