/** The meta commands of the memcache text protocol: buffers, parsers and writers. Knows no sockets. */
package stagepier.memcache;
