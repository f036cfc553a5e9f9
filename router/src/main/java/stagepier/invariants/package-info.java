/** Properties that must hold in every run of a router, checked while it runs. */
package stagepier.invariants;
