package stagepier.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;

/** Keeps all load reports that were seen on their way, by sender, and waits for what is to come. */
final class ReportLog implements ReportListener {
    private final Lock lock = new ReentrantLock();
    private final Condition more = lock.newCondition();
    private final List<List<SentReport>> reports = new ArrayList<>();

    ReportLog(int routers) {
        for (int router = 0; router < routers; router++) {
            reports.add(new ArrayList<>());
        }
    }

    @Override
    public void sent(int router, double at, byte[] report) {
        lock.lock();
        try {
            reports.get(router).add(new SentReport(at, report));
            more.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Forgets all and waits until the reports of each router of a range, which have come since then, are enough. */
    List<List<SentReport>> await(int first, int last, Predicate<List<SentReport>> enough, int seconds)
            throws InterruptedException, TimeoutException {
        lock.lock();
        try {
            reports.forEach(List::clear);
            long left = TimeUnit.SECONDS.toNanos(seconds);
            while (!reports.subList(first, last).stream().allMatch(enough)) {
                if (left <= 0) {
                    throw new TimeoutException("reports by router: "
                            + reports.stream().map(List::size).toList());
                }
                left = more.awaitNanos(left);
            }
            return reports.stream().<List<SentReport>>map(ArrayList::new).toList();
        } finally {
            lock.unlock();
        }
    }
}
