/** How much one router passes on with a whole core: clients that never wait, and cache servers that do no work. */
package stagepier.lab.scale.saturation;
