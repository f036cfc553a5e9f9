package stagepier.discovery;

/** Says whether a change of the list that breaks no rule by coming late may be taken up now. On the event loop. */
public interface Admission {
    /**
     * @param old   the entry that counts, or null where the server is none of those that count
     * @param fresh the entry as the list now has it: a server that is up
     * @return false where the change is held; it may come later by {@link HostGroup#admit}
     */
    boolean admits(HostGroup.Host old, HostGroup.Host fresh);

    /** What may be held of that server is of no use any more: the list has said something newer. */
    void overtaken(String server);
}
