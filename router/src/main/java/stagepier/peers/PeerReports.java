package stagepier.peers;

import java.util.Collection;
import java.util.List;
import java.util.function.ObjLongConsumer;
import stagepier.Api;

/**
 * What a router sends to the others and knows from them: the one way from what the module reports to a message, and
 * from a report to sums, for sockets and simulator alike. Free of I/O and clock.
 */
public final class PeerReports {
    /** Told apart from all else that the router draws from its seed. */
    private static final long SCHEDULE_SEED = 0x5ced_0e1aL;

    private static final long SAMPLER_SEED = 0x5a3b_1e44L;
    private static final double THOUSAND = 1e3;

    private final int zone;
    private final ReportSchedule schedule;
    private final ReportSampler sampler;
    private final PeerView view;
    private long heldBack;

    /** @param zones of the fleet */
    public PeerReports(Api.Settings settings, int zones, long seed) {
        zone = settings.zone();
        schedule = new ReportSchedule(settings.balancers(), settings.reportPeriod(), seed ^ SCHEDULE_SEED);
        sampler = new ReportSampler(seed ^ SAMPLER_SEED);
        view = new PeerView(settings.balancers(), zones);
    }

    /** The message to all others for what the module reports now, or null where none is due. */
    public byte[] message(double now, List<Api.ServerReport> news) {
        if (!schedule.isDue(now, news.size())) {
            heldBack++;
            return null;
        }
        List<Api.ServerReport> entries =
                news.stream().filter(PeerReportCodec::canName).toList();
        if (!schedule.isBounded()) {
            return PeerReportCodec.encode(PeerReport.plain(entries));
        }
        List<Api.ServerReport> chosen = sampler.choose(entries, PeerReportCodec.ENTRIES_MOST_WEIGHTED);
        return PeerReportCodec.encode(
                new PeerReport(zone, schedule.window(), schedule.weight(), PeerReport.closed(entries), chosen));
    }

    /** Takes another router's report; returns the servers of which the sum may have changed. */
    public Collection<Long> take(double now, int peer, PeerReport report) {
        return view.take(now, peer, report);
    }

    /**
     * Forgets, without a report that comes, what is too old; returns the servers of which the sum may have changed.
     * Where every report is sent, the next one that comes sees to that.
     */
    public Collection<Long> forget(double now) {
        return schedule.isBounded() ? view.forget(now) : List.of();
    }

    /** What all others report of a server, added up. */
    public Api.PeerTotals of(long server) {
        return view.of(server);
    }

    /** How many attempts each one that is told of stands for, on the mean. */
    public double weight() {
        return view.weight();
    }

    /** What was sent and what counts. */
    public void count(ObjLongConsumer<String> to) {
        to.accept("peer_reports_held_back", heldBack);
        to.accept("peer_reports_gap_ms", Math.round(schedule.meanGap() * THOUSAND));
        to.accept("peer_reports_weight_thousandths", Math.round(schedule.weight() * THOUSAND));
        to.accept("peer_reports_counted", view.reporters());
        to.accept("peer_reports_forgotten", view.forgotten());
    }
}
