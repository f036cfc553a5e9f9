/** The list of cache servers, kept up to date by a long poll of the discovery service. */
package stagepier.discovery;
