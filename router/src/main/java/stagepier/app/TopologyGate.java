package stagepier.app;

import java.util.List;
import java.util.Objects;
import stagepier.Api;
import stagepier.discovery.Admission;
import stagepier.discovery.HostGroup;
import stagepier.freeze.Change;

/**
 * Asks the freeze calendar about voluntary changes in the list of cache servers, and holds those that may not be
 * applied yet. Drains, removals and restarts of a server's process are never held. Runs on the event loop.
 */
final class TopologyGate implements Admission {
    /** Admits a change, or holds it until the calendar allows it. */
    interface Holder {
        /**
         * @return false if held; {@code later} then runs once the change is allowed, unless a newer entry replaces it
         */
        boolean offer(Change change, Runnable later);

        /** Discards the held change of a server because a newer entry replaces it. */
        void overtaken(String server);
    }

    /** Applies the entry of a held change once the calendar allows it. */
    interface DelayedAdmission {
        void admit(HostGroup.Host host);
    }

    private final Holder holder;
    private final List<String> zones;
    private final DelayedAdmission delayedAdmission;

    /** @param zones zone names in the order of their indexes in the settings */
    TopologyGate(Holder holder, List<String> zones, DelayedAdmission delayedAdmission) {
        this.holder = holder;
        this.zones = zones;
        this.delayedAdmission = delayedAdmission;
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
        return holder.offer(change, () -> delayedAdmission.admit(fresh));
    }

    @Override
    public void overtaken(String server) {
        holder.overtaken(server);
    }

    /**
     * Returns the voluntary change in the entry of a running server, or null if there is none, such as for a restart.
     */
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
