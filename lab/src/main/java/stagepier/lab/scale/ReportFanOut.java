package stagepier.lab.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import stagepier.lab.fleet.Ports;
import stagepier.lab.standin.LabClock;
import stagepier.lab.standin.PeerAddresses;

/**
 * Passes load reports on to the router processes: those of hollow routers when they are due, and what one process
 * tells all. Each router of the fleet has a socket at an address of its own in 127.0.0.0/8, from which its reports
 * come; a process sends its own there. Hollow routers hear nothing. All is done by one thread.
 *
 * <p>{@code standin.DatagramRelay} is not used for it: it has a socket for each pair of routers, so that faults can
 * lie between two.
 */
final class ReportFanOut implements AutoCloseable {
    /** Addresses begin at 127.1.0.1; the last byte stays clear of 255, which Java takes for a broadcast. */
    private static final int FIRST_ADDRESS = 0x7f010001;

    private static final int LAST_BYTES = 250;
    private static final int BYTE_SIZE = 8;
    private static final String LOOPBACK = "127.0.0.1";
    /** Longer than the selector waits for input at a time; milliseconds. */
    private static final long WAIT_MOST_MS = 50;

    private static final double MS = 1e3;
    private static final long ENDS_WITHIN_MS = 5000;

    private final LabClock clock;
    private final Selector selector;
    /** By the number of the router. */
    private final List<DatagramChannel> sources = new ArrayList<>();
    /** Where the router processes listen, by their number. */
    private final List<InetSocketAddress> processes = new ArrayList<>();

    private final ByteBuffer input = ByteBuffer.allocate(LoadReportModel.BYTES_MOST + 1);
    private final AtomicLongArray bytesIn;
    private final AtomicLongArray messagesIn;
    private final AtomicLongArray bytesOut;
    private final AtomicLongArray messagesOut;
    private final AtomicLong planned = new AtomicLong();
    private final AtomicLong late = new AtomicLong();
    private final ReportListener listener;
    private final Queue<ReportSchedule.Due> additional = new ConcurrentLinkedQueue<>();
    private volatile ReportFilter filter = ReportFilter.NONE_LOST;
    private ReportSchedule schedule;
    private Thread thread;
    private volatile boolean ending;
    private volatile IOException failure;

    /**
     * @param real    router processes; they have the first numbers
     * @param routers of the whole fleet
     */
    ReportFanOut(LabClock clock, int real, int routers, ReportListener listener) throws IOException {
        this.clock = clock;
        this.listener = listener;
        selector = Selector.open();
        bytesIn = new AtomicLongArray(real);
        messagesIn = new AtomicLongArray(real);
        bytesOut = new AtomicLongArray(real);
        messagesOut = new AtomicLongArray(real);
        try {
            for (int port : Ports.freeForDatagrams(real)) {
                processes.add(new InetSocketAddress(LOOPBACK, port));
            }
            for (int number = 0; number < routers; number++) {
                DatagramChannel source = DatagramChannel.open(StandardProtocolFamily.INET);
                sources.add(source);
                source.bind(new InetSocketAddress(address(number), 0)).configureBlocking(false);
                if (number < real) {
                    source.register(selector, SelectionKey.OP_READ, number);
                }
            }
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private static InetAddress address(int number) throws IOException {
        int address = FIRST_ADDRESS + (number / LAST_BYTES << BYTE_SIZE) + number % LAST_BYTES;
        return InetAddress.getByAddress(
                ByteBuffer.allocate(Integer.BYTES).putInt(address).array());
    }

    PeerAddresses addresses() throws IOException {
        List<String> all = new ArrayList<>();
        for (DatagramChannel source : sources) {
            all.add(text((InetSocketAddress) source.getLocalAddress()));
        }
        return new PeerAddresses(
                processes.stream().map(ReportFanOut::text).toList(), all.subList(0, processes.size()), all);
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** From now on reports are passed on, and those of the schedule sent. */
    void start(ReportSchedule hollow) {
        schedule = hollow;
        thread = new Thread(this::run, "load-reports");
        thread.setDaemon(true);
        thread.start();
    }

    /** From now on reports are lost where that says so. */
    void filter(ReportFilter next) {
        filter = next;
    }

    /** Sends a report of a router beside those of its schedule, as soon as may be. */
    void sendAdditional(int router, byte[] report) {
        additional.add(new ReportSchedule.Due(router, clock.now(), report.clone()));
        selector.wakeup();
    }

    private void run() {
        try {
            while (!ending) {
                double wait = (schedule.nextAt() - clock.now()) * MS;
                if (wait < 1) {
                    selector.selectNow();
                } else {
                    selector.select((long) Math.min(WAIT_MOST_MS, wait));
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    passOn((int) key.attachment());
                }
                selector.selectedKeys().clear();
                sendDue();
                for (ReportSchedule.Due one = additional.poll(); one != null; one = additional.poll()) {
                    sendToProcesses(one.router(), one.report());
                }
            }
        } catch (IOException | UncheckedIOException e) {
            failure = new IOException("load reports cannot be passed on: " + e.getMessage(), e);
        }
    }

    /** What a router process tells all, once each: reports that lie there together are read one after the other. */
    private void passOn(int sender) throws IOException {
        DatagramChannel source = sources.get(sender);
        for (input.clear(); source.receive(input) != null; input.clear()) {
            byte[] report = new byte[input.flip().remaining()];
            input.get(report);
            bytesOut.addAndGet(sender, report.length + LoadReportModel.DATAGRAM_HEADERS);
            messagesOut.incrementAndGet(sender);
            sendToProcesses(sender, report);
        }
    }

    /** A bounded number at a time, so that the processes are heard between them though the hollow ones are behind. */
    private void sendDue() throws IOException {
        double now = clock.now();
        for (int sent = 0; sent < sources.size() && schedule.nextAt() <= now; sent++) {
            ReportSchedule.Due due = schedule.next();
            boolean left = sendToProcesses(due.router(), due.report());
            planned.incrementAndGet();
            if (!left || clock.now() - due.at() > ReportPace.LATE_AFTER) {
                late.incrementAndGet();
            }
        }
    }

    private boolean sendToProcesses(int sender, byte[] report) throws IOException {
        boolean all = true;
        for (int to = 0; to < processes.size(); to++) {
            if (to != sender && filter.passes(sender, to)) {
                boolean left = sources.get(sender).send(ByteBuffer.wrap(report), processes.get(to)) == report.length;
                all &= left;
                if (left) {
                    bytesIn.addAndGet(to, report.length + LoadReportModel.DATAGRAM_HEADERS);
                    messagesIn.incrementAndGet(to);
                }
            }
        }
        listener.sent(sender, clock.now(), report);
        return all;
    }

    /** What a router process was sent and has sent so far. */
    ReportTraffic traffic(int process) {
        return new ReportTraffic(
                bytesIn.get(process), messagesIn.get(process), bytesOut.get(process), messagesOut.get(process));
    }

    /** How the hollow routers kept their pace so far; what is late counts once it has been sent. */
    ReportPace pace() throws IOException {
        if (failure != null) {
            throw failure;
        }
        return new ReportPace(planned.get(), late.get());
    }

    @Override
    public void close() throws IOException {
        ending = true;
        if (thread != null) {
            selector.wakeup();
            try {
                thread.join(ENDS_WITHIN_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        for (DatagramChannel source : sources) {
            source.close();
        }
        selector.close();
    }
}
