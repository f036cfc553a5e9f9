package stagepier.app;

import java.util.List;
import java.util.Objects;
import stagepier.Api;
import stagepier.discovery.Admission;
import stagepier.discovery.HostGroup;
import stagepier.freeze.Change;

/**
 * Asks the freeze calendar about what the list changes of its own accord, and holds what may not be taken up yet. Drains, removals and
 * restarts of a server's process never come here. On the event loop.
 */
final class TopologyGate implements Admission {
    /** Takes a change, or holds it until it may be done. */
    interface Holder {
        /** @return false where it is held; {@code later} is then done, unless it is overtaken, once it may be */
        boolean offer(Change change, Runnable later);

        void overtaken(String server);
    }

    /** What is held of a list that says so later. */
    interface Later {
        void admit(HostGroup.Host host);
    }

    private final Holder holder;
    private final List<String> zones;
    private final Later later;

    /** @param zones names of zones, as the settings number them */
    TopologyGate(Holder holder, List<String> zones, Later later) {
        this.holder = holder;
        this.zones = zones;
        this.later = later;
    }

    @Override
    public boolean admits(HostGroup.Host old, HostGroup.Host fresh) {
        Change.Kind kind = kind(old, fresh);
        if (kind == null) {
            holder.overtaken(fresh.name());
            return true;
        }
        int zone = fresh.member().zone();
        Change change = new Change(kind, fresh.name(), zone < 0 ? "" : zones.get(zone));
        return holder.offer(change, () -> later.admit(fresh));
    }

    @Override
    public void overtaken(String server) {
        holder.overtaken(server);
    }

    /** What is voluntary about an entry of a server that is up; null where nothing is, as with a process that started anew. */
    private static Change.Kind kind(HostGroup.Host old, HostGroup.Host fresh) {
        if (old == null || old.member().state() != Api.MemberState.READY) {
            return Change.Kind.ADD_SERVER;
        }
        if (!Objects.equals(old.address(), fresh.address())) {
            return Change.Kind.ADDRESS;
        }
        if (old.member().zone() != fresh.member().zone()) {
            return Change.Kind.ZONE;
        }
        return old.member().weight() == fresh.member().weight() ? null : Change.Kind.WEIGHT;
    }
}
