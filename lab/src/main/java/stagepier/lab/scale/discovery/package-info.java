/** What one discovery service meets under the watches of a whole fleet: hollow watchers before a real stand-in. */
package stagepier.lab.scale.discovery;
