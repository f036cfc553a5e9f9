/** Meta commands of the memcache text protocol: buffers, parsers and writers, independent of sockets. */
package stagepier.memcache;
