/**
 * Requests in progress: {@link stagepier.exchange.ModuleHost} connects them to the decision module and to both sides'
 * connections.
 */
package stagepier.exchange;
