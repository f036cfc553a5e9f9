package stagepier.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import stagepier.Api;
import stagepier.RoutingPolicy;
import stagepier.peers.PeerReport;
import stagepier.peers.PeerReportCodec;
import stagepier.peers.PeerReports;
import stagepier.settings.SettingsException;
import stagepier.settings.SettingsParser;

/**
 * Reads batches of events from the simulator, delivers each event to the instance that it names and writes one reply
 * per batch. Makes no routing decisions. Instances share the reader and the reply buffer, but none of their own state.
 */
public final class Adapter {
    // Record codes of the wire.
    private static final int INSTANCE_START = 1040;
    private static final int INSTANCE_STOP = 1060;
    private static final int MEMBER_TABLE = 1010;
    private static final int DISCOVERY = 1070;
    private static final int REQUEST = 1100;
    private static final int FIRST_BYTE = 1020;
    private static final int RESPONSE = 1050;
    private static final int CLIENT_GONE = 1030;
    private static final int TIMER_DUE = 1000;
    private static final int PROBE_RESULT = 1080;
    private static final int PEER_MESSAGE = 1090;

    private static final int BATCH_HEADER_BYTES = 16;
    private static final int RECORD_HEADER_BYTES = 6;
    private static final int ENTRY_BYTES = 21;
    private static final int MAX_MEMBER_TABLES = 16;
    private static final int DISCOVERY_FAILED = 3;
    private static final int DISCOVERY_DELTA = 0;
    private static final int HINT_VALID = 1;
    private static final int CLIENT_RETRY = 2;
    private static final int WRITE = 4;

    private static final Api.Outcome[] OUTCOMES = {
        Api.Outcome.OK,
        Api.Outcome.ERROR,
        Api.Outcome.FULL,
        Api.Outcome.TIMEOUT,
        Api.Outcome.CONNECT_FAILED,
        Api.Outcome.RESET,
        Api.Outcome.CANCELLED,
        Api.Outcome.NOT_SENT,
        Api.Outcome.MISS
    };
    private static final Api.Lookup[] LOOKUPS = Api.Lookup.values();
    private static final Api.MemberState[] STATES = {
        Api.MemberState.READY, Api.MemberState.GONE, Api.MemberState.DRAINING
    };

    /** One balancer: its module, a load report buffer of the size in its settings, and the reports of its peers. */
    private record Instance(RoutingPolicy policy, float[] report, PeerReports peers) {}

    private static final float[] NO_REPORT = {};

    private final InputStream in;
    private final OutputStream out;
    private final ReplyWriter reply = new ReplyWriter();
    private final RecordReader record = new RecordReader();
    private final Instance[] instances = new Instance[1 << 16];
    private final List<List<Api.Member>> memberTables = new ArrayList<>();
    private byte[] payload = new byte[1 << 16];
    private long batch;

    public Adapter(InputStream in, OutputStream out) {
        this.in = in;
        this.out = out;
        for (int i = 0; i < MAX_MEMBER_TABLES; i++) {
            memberTables.add(null);
        }
    }

    /** Answers batches until the input ends between two batches. */
    public void run() throws IOException {
        byte[] header = new byte[BATCH_HEADER_BYTES];
        while (readHeader(header)) {
            batch++;
            int records = RecordReader.intAt(header, 0);
            int length = RecordReader.intAt(header, 4);
            if (records < 0 || length < 0) {
                throw new WireException("batch " + batch + ": header is out of range");
            }
            record.open(header, 8, BATCH_HEADER_BYTES, "header");
            double now = record.f64();
            if (!Double.isFinite(now)) {
                throw new WireException("batch " + batch + ": clock value is not a finite number");
            }
            readPayload(length);
            reply.setTime(now);
            processRecords(records, length, now);
            reply.flushTo(out);
        }
    }

    private boolean readHeader(byte[] header) throws IOException {
        int n = in.readNBytes(header, 0, BATCH_HEADER_BYTES);
        if (n != 0 && n != BATCH_HEADER_BYTES) {
            throw new WireException("batch " + (batch + 1) + ": input ends inside the header");
        }
        return n != 0;
    }

    private void readPayload(int length) throws IOException {
        // The buffer grows as bytes arrive, so that a false length does not allocate memory for bytes that never
        // arrive.
        int received = 0;
        while (received < length) {
            if (received == payload.length) {
                payload = Arrays.copyOf(payload, (int) Math.min(length, received * 2L));
            }
            int n = in.readNBytes(payload, received, Math.min(length, payload.length) - received);
            if (n == 0) {
                throw new WireException(
                        "batch " + batch + ": input ends after " + received + " of " + length + " bytes");
            }
            received += n;
        }
    }

    private void processRecords(int records, int length, double now) {
        int at = 0;
        for (int i = 0; i < records; i++) {
            String where = "batch " + batch + " record " + i;
            if (length - at < RECORD_HEADER_BYTES) {
                throw new WireException(where + ": batch ends before it");
            }
            int code = (payload[at] & 0xff) << 8 | payload[at + 1] & 0xff;
            int fields = RecordReader.intAt(payload, at + 2);
            int from = at + RECORD_HEADER_BYTES;
            if (fields < 0 || fields > length - from) {
                throw new WireException(where + ": length " + Integer.toUnsignedLong(fields) + " exceeds the batch");
            }
            record.open(payload, from, from + fields, where);
            processRecord(code, now, where);
            record.close();
            at = from + fields;
        }
        if (at != length) {
            throw new WireException("batch " + batch + ": " + (length - at) + " bytes after the last record");
        }
    }

    private void processRecord(int code, double now, String where) {
        if (code == MEMBER_TABLE) {
            readMemberTable(where);
            return;
        }
        int instanceId = record.u16();
        if (code == INSTANCE_START) {
            start(instanceId);
            return;
        }
        Instance instance = instances[instanceId];
        if (instance == null) {
            throw new WireException(where + ": instance " + instanceId + " is not running");
        }
        if (code == INSTANCE_STOP) {
            instances[instanceId] = null;
            return;
        }
        try {
            deliver(code, instance, now, where);
        } catch (WireException e) {
            throw e;
        } catch (RuntimeException e) {
            reply.fault(instanceId, faultText(e));
            // The rest of the record is skipped: the simulation run ends with the fault.
            record.open(payload, 0, 0, where);
        }
    }

    private static String faultText(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        return trace.length == 0 ? e.toString() : e + " at " + trace[0];
    }

    private void deliver(int code, Instance instance, double now, String where) {
        switch (code) {
            case REQUEST -> request(instance.policy, now);
            case RESPONSE -> response(instance, now, where);
            case TIMER_DUE -> timerDue(instance, now);
            case DISCOVERY -> discovery(instance.policy, now, where);
            case CLIENT_GONE -> instance.policy.onClientGone(now, record.u64());
            case FIRST_BYTE -> firstByte(instance.policy, now);
            case PROBE_RESULT -> probed(instance, now, where);
            case PEER_MESSAGE -> peerMessage(instance, now);
            default -> throw new WireException(where + ": unknown record code " + code);
        }
    }

    private void start(int instanceId) {
        long seed = record.u64();
        try {
            SettingsParser.Parsed parsed = SettingsParser.parse(record.text());
            PeerReports peers =
                    new PeerReports(parsed.settings(), parsed.names().zones().size(), seed);
            instances[instanceId] = new Instance(
                    new RoutingPolicy(parsed.settings(), seed, reply.hostFor(instanceId, peers)),
                    new float[parsed.reportFields()],
                    peers);
        } catch (SettingsException e) {
            throw new WireException(e.getMessage());
        } catch (IllegalArgumentException e) {
            throw new WireException("settings: " + e.getMessage());
        }
    }

    private void readMemberTable(String where) {
        int number = record.i32();
        if (number < 0 || number >= MAX_MEMBER_TABLES) {
            throw new WireException(where + ": member table " + Integer.toUnsignedLong(number) + " is out of range");
        }
        int n = record.count(ENTRY_BYTES);
        List<Api.Member> members = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            int cell = record.u16();
            double startedAt = record.f64();
            int kind = record.u8();
            int state = record.u8();
            if (state >= STATES.length) {
                throw new WireException(where + ": member state " + state + " is unknown");
            }
            long server = record.u32();
            double weight = record.f32();
            int zone = record.u8();
            members.add(new Api.Member(server, zone, cell, kind, STATES[state], weight, startedAt));
        }
        memberTables.set(number, members);
    }

    private void discovery(RoutingPolicy policy, double now, String where) {
        int mode = record.u8();
        record.u64();
        int number = record.i32();
        if (mode == DISCOVERY_FAILED) {
            policy.onMembersFailed(now);
            return;
        }
        if (mode > DISCOVERY_FAILED) {
            throw new WireException(where + ": discovery mode " + mode + " is unknown");
        }
        List<Api.Member> members = number < 0 || number >= MAX_MEMBER_TABLES ? null : memberTables.get(number);
        if (members == null) {
            throw new WireException(where + ": member table " + Integer.toUnsignedLong(number) + " was never sent");
        }
        policy.onMembers(now, mode != DISCOVERY_DELTA, members);
    }

    private void request(RoutingPolicy policy, double now) {
        long id = record.u64();
        int classIndex = record.u16();
        int tenant = record.i32();
        long key = record.u64();
        double budget = record.f64();
        double hint = record.f64();
        record.f32();
        int options = record.u8();
        policy.onRequest(
                now,
                new Api.Request(
                        id,
                        classIndex,
                        tenant,
                        key,
                        budget,
                        (options & HINT_VALID) != 0 ? hint : 0,
                        (options & CLIENT_RETRY) != 0,
                        (options & WRITE) != 0));
    }

    private void peerMessage(Instance instance, double now) {
        int peer = (int) record.u32();
        byte[] message = record.bytes(record.u16());
        PeerReport report;
        try {
            report = PeerReportCodec.decode(message);
        } catch (IllegalArgumentException e) {
            // The message is from another program; it is ignored.
            return;
        }
        instance.policy.onPeers(now, instance.peers.take(now, peer, report));
    }

    private void timerDue(Instance instance, double now) {
        instance.policy.onTimer(now, record.u64());
        Collection<Long> changed = instance.peers.forget(now);
        if (!changed.isEmpty()) {
            instance.policy.onPeers(now, changed);
        }
    }

    private void firstByte(RoutingPolicy policy, double now) {
        long id = record.u64();
        record.u32();
        int attempt = record.u8();
        record.f64();
        policy.onFirstByte(now, id, attempt);
    }

    private void response(Instance instance, double now, String where) {
        long id = record.u64();
        int attempt = record.u8();
        long server = record.u32();
        Api.Outcome outcome = outcome(where);
        double elapsed = record.f64();
        boolean finished = record.u8() != 0;
        int lookupCode = record.i32();
        Api.Lookup lookup = lookupCode >= 0 && lookupCode < LOOKUPS.length ? LOOKUPS[lookupCode] : Api.Lookup.UNKNOWN;
        float[] report = report(instance);
        instance.policy.onOutcome(now, id, attempt, server, outcome, elapsed, finished, lookup, report);
    }

    private void probed(Instance instance, double now, String where) {
        Api.Outcome outcome = outcome(where);
        long server = record.u32();
        double elapsed = record.f64();
        float[] report = report(instance);
        instance.policy.onProbe(now, server, outcome, elapsed, report);
    }

    private Api.Outcome outcome(String where) {
        int outcomeCode = record.u16();
        if (outcomeCode >= OUTCOMES.length) {
            throw new WireException(where + ": outcome " + outcomeCode + " is unknown");
        }
        return OUTCOMES[outcomeCode];
    }

    private float[] report(Instance instance) {
        int n = record.u8();
        if (n != instance.report.length) {
            record.skip(n * Float.BYTES);
            return NO_REPORT;
        }
        for (int i = 0; i < n; i++) {
            instance.report[i] = record.f32();
        }
        return instance.report;
    }
}
