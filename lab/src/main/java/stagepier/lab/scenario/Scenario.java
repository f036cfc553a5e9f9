package stagepier.lab.scenario;

import java.util.List;
import stagepier.lab.model.Arrivals;
import stagepier.lab.model.NodeModel;
import stagepier.lab.model.OriginModel;
import stagepier.lab.model.RequestKind;
import stagepier.lab.nemesis.LinkFault;

/**
 * A whole experiment, as its file says.
 *
 * @param nodes     cache nodes
 * @param routers   router processes
 * @param zones     data centres that nodes are spread over
 * @param sockets   descriptors that a router may hold
 * @param notice    seconds until discovery tells of a change
 * @param silentNotice the same for a machine that has gone silent
 * @param retries   what clients do when they are refused
 * @param retryMost tries after the first
 * @param value     bytes of a value
 * @param linkFaults what goes wrong between processes
 * @param peers     whether routers tell each other anything
 * @param stated    routers that there are by the settings: more than play make the rate of what they tell each other a bound
 * @param together  how the fleet decides together, or null where it does not
 */
public record Scenario(
        String name,
        String about,
        int nodes,
        int routers,
        int zones,
        int sockets,
        NodeModel.Traits node,
        OriginModel.Traits origin,
        double notice,
        double silentNotice,
        Arrivals.Demand demand,
        List<RequestKind> kinds,
        Retries retries,
        int retryMost,
        int value,
        List<Fault> faults,
        List<LinkFault> linkFaults,
        boolean peers,
        int stated,
        FleetScenario together) {
    /** What clients do when they are refused. */
    public enum Retries {
        NONE,
        AT_ONCE,
        WAIT
    }

    /** Whether staff call at the routers' consoles. */
    public boolean hasStaff() {
        return faults.stream().anyMatch(f -> f.kind().isByStaff());
    }

    /** Whether a candidate map is tried. */
    public boolean hasShadow() {
        return together != null && !together.candidate().isEmpty();
    }

    /** The same with so many cache nodes and router processes, which a file could not ask for. */
    public Scenario withFleet(int cacheNodes, int routerProcesses) {
        Arrivals.Demand spread = new Arrivals.Demand(
                demand.rate(),
                demand.seconds(),
                demand.shape(),
                demand.swing(),
                routerProcesses,
                demand.skew(),
                demand.keys(),
                demand.zipf(),
                demand.drift(),
                demand.tenants());
        return new Scenario(
                name,
                about,
                cacheNodes,
                routerProcesses,
                zones,
                sockets,
                node,
                origin,
                notice,
                silentNotice,
                spread,
                kinds,
                retries,
                retryMost,
                value,
                faults,
                linkFaults,
                peers,
                Math.max(stated, routerProcesses),
                together);
    }

    /** Seconds within which nothing new may go to a node that drains. */
    public static final double DRAIN_GRACE = 1;
}
