package stagepier.discovery;

/**
 * Decides whether a change of the server list may be applied now. Called only for changes that may be delayed without
 * breaking a rule. On the event loop.
 */
public interface Admission {
    /**
     * @param old   the entry in force, or null if the server has none
     * @param fresh the entry in the new list, for a server that is up
     * @return false if the change is held; it may be applied later by {@link HostGroup#admit}
     */
    boolean admits(HostGroup.Host old, HostGroup.Host fresh);

    /** Drops a held change of this server, because the list has a newer entry for it. */
    void overtaken(String server);
}
