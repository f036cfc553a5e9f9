/**
 * Requests in progress: {@link stagepier.exchange.ModuleHost} connects them to the decision module and to the
 * connections of clients and servers.
 */
package stagepier.exchange;
