/** Cache servers that operators took out by hand, and the files in which processes of one router share that. */
package stagepier.bans;
