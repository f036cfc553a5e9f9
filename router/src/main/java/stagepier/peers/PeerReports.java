package stagepier.peers;

import java.util.Collection;
import java.util.List;
import java.util.function.ObjLongConsumer;
import stagepier.Api;

/**
 * The reports that a router sends to the others and the sums of those that it receives. Sockets and the simulator both
 * use this class to turn reports of the routing module into messages, and received reports into sums. Does no I/O and
 * reads no clock.
 */
public final class PeerReports {
    /** Separates this random stream from others that the router derives from its seed. */
    private static final long SCHEDULE_SEED = 0x5ced_0e1aL;

    private static final long SAMPLER_SEED = 0x5a3b_1e44L;
    private static final double THOUSAND = 1e3;

    private final int zone;
    private final ReportSchedule schedule;
    private final ReportSampler sampler;
    private final PeerView view;
    private long heldBack;

    /** @param zones number of zones in the fleet */
    public PeerReports(Api.Settings settings, int zones, long seed) {
        zone = settings.zone();
        schedule = new ReportSchedule(settings.balancers(), settings.reportPeriod(), seed ^ SCHEDULE_SEED);
        sampler = new ReportSampler(seed ^ SAMPLER_SEED);
        view = new PeerView(settings.balancers(), zones);
    }

    /** Returns the message to all other routers for the module's current report, or null if none is due. */
    public byte[] message(double now, List<Api.ServerReport> serverReports) {
        if (!schedule.isDue(now, serverReports.size())) {
            heldBack++;
            return null;
        }
        List<Api.ServerReport> entries =
                serverReports.stream().filter(PeerReportCodec::canEncode).toList();
        if (!schedule.isRateLimited()) {
            return PeerReportCodec.encode(PeerReport.plain(entries));
        }
        List<Api.ServerReport> sample = sampler.choose(entries, PeerReportCodec.MAX_ENTRIES_WEIGHTED);
        return PeerReportCodec.encode(
                new PeerReport(zone, schedule.window(), schedule.weight(), PeerReport.countClosed(entries), sample));
    }

    /** Applies another router's report; returns the servers whose sum may have changed. */
    public Collection<Long> take(double now, int peer, PeerReport report) {
        return view.take(now, peer, report);
    }

    /**
     * Removes expired reports without waiting for the next report; returns the servers whose sum may have changed. If
     * every report is sent, expired reports are removed when the next one arrives.
     */
    public Collection<Long> forget(double now) {
        return schedule.isRateLimited() ? view.forget(now) : List.of();
    }

    /** Returns the sum of all other routers' reports of a server. */
    public Api.PeerTotals of(long server) {
        return view.of(server);
    }

    /** Returns the mean number of attempts that each reported attempt represents. */
    public double weight() {
        return view.weight();
    }

    /** Reports the counters of sent and valid reports. */
    public void count(ObjLongConsumer<String> to) {
        to.accept("peer_reports_held_back", heldBack);
        to.accept("peer_reports_gap_ms", Math.round(schedule.meanGap() * THOUSAND));
        to.accept("peer_reports_weight_thousandths", Math.round(schedule.weight() * THOUSAND));
        to.accept("peer_reports_counted", view.reporters());
        to.accept("peer_reports_forgotten", view.forgotten());
    }
}
