package stagepier.adapter;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Builds one batch in the wire format of the simulator. */
final class Batch {
    private final ByteArrayOutputStream records = new ByteArrayOutputStream();
    private final double now;
    private int count;

    Batch(double now) {
        this.now = now;
    }

    interface Fields {
        void write(DataOutputStream out) throws IOException;
    }

    Batch record(int code, Fields fields) {
        try {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            fields.write(new DataOutputStream(body));
            DataOutputStream out = new DataOutputStream(records);
            out.writeShort(code);
            out.writeInt(body.size());
            out.write(body.toByteArray());
            count++;
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Batch instanceStart(int instance, String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        return record(1040, o -> {
            o.writeShort(instance);
            o.writeLong(99);
            o.writeInt(text.length);
            o.write(text);
        });
    }

    Batch memberTable(int table, long... servers) {
        return record(1010, o -> {
            o.writeInt(table);
            o.writeInt(servers.length);
            for (long server : servers) {
                o.writeShort(0);
                o.writeDouble(0);
                o.writeByte(0);
                o.writeByte(0);
                o.writeInt((int) server);
                o.writeFloat(1);
                o.writeByte(0);
            }
        });
    }

    Batch discovery(int instance, int mode, int table) {
        return record(1070, o -> {
            o.writeShort(instance);
            o.writeByte(mode);
            o.writeLong(1);
            o.writeInt(table);
        });
    }

    Batch request(int instance, long id, int classIndex) {
        return request(instance, id, classIndex, 0, 77);
    }

    Batch request(int instance, long id, int classIndex, int tenant, long key) {
        return record(1100, o -> {
            o.writeShort(instance);
            o.writeLong(id);
            o.writeShort(classIndex);
            o.writeInt(tenant);
            o.writeLong(key);
            o.writeDouble(1.0);
            o.writeDouble(0);
            o.writeFloat(0);
            o.writeByte(0);
        });
    }

    Batch response(int instance, long id, int attempt, long server, int outcome, boolean finished) {
        return record(1050, o -> {
            o.writeShort(instance);
            o.writeLong(id);
            o.writeByte(attempt);
            o.writeInt((int) server);
            o.writeShort(outcome);
            o.writeDouble(0.01);
            o.writeByte(finished ? 1 : 0);
            o.writeInt(1);
            o.writeByte(0);
        });
    }

    Batch timerDue(int instance, long token) {
        return record(1000, o -> {
            o.writeShort(instance);
            o.writeLong(token);
        });
    }

    Batch instanceStop(int instance) {
        return record(1060, o -> o.writeShort(instance));
    }

    byte[] bytes() {
        return ByteBuffer.allocate(16 + records.size())
                .putInt(count)
                .putInt(records.size())
                .putDouble(now)
                .put(records.toByteArray())
                .array();
    }
}
