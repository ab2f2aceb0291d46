package gatefront.drill;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Builds frames for {@link Drill} and decodes its replies. */
final class FrameBuilder {
    static final String SETTINGS =
            """
        caps.cancel=true
        caps.max-attempts=3
        caps.may-duplicate=false
        caps.probes=true
        caps.peers=false
        caps.retry-after=true
        caps.max-retry-after-us=2000000
        classes.count=1
        classes.0.aim-us=1000000
        classes.0.give-up-us=4000000
        classes.0.semantics=safe
        discovery=automatic
        granularity-us=5000
        group-size=2
        locality=0
        me=1
        obligations.answer-slack-us=20000
        obligations.cold-from=0.12
        obligations.cold-us=23000000
        obligations.fall-multiple=3.0
        obligations.overload-for-us=1000000
        obligations.stop-sending-within-us=500000
        something.unheard-of=yes
        zones=north,south
        """;

    /** Writes the fields of a record. */
    interface Fields {
        void write(DataOutputStream out) throws IOException;
    }

    /** A record of a reply. */
    record Reply(int code, int instance, ByteBuffer fields) {}

    private final ByteArrayOutputStream all = new ByteArrayOutputStream();
    private final List<byte[]> records = new ArrayList<>();

    static byte[] bytes(Fields fields) {
        var bytes = new ByteArrayOutputStream();
        try {
            fields.write(new DataOutputStream(bytes));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return bytes.toByteArray();
    }

    FrameBuilder record(int code, Fields fields) {
        byte[] body = bytes(fields);
        records.add(bytes(out -> {
            out.writeByte(code);
            out.writeInt(body.length);
            out.write(body);
        }));
        return this;
    }

    FrameBuilder frame(long clock) {
        int length = 12 + records.stream().mapToInt(r -> r.length).sum();
        all.writeBytes(bytes(out -> {
            out.writeInt(length);
            out.writeInt(records.size());
            out.writeLong(clock);
        }));
        records.forEach(all::writeBytes);
        records.clear();
        return this;
    }

    FrameBuilder raw(byte[] bytes) {
        all.writeBytes(bytes);
        return this;
    }

    FrameBuilder spawn(int instance) {
        return spawn(instance, SETTINGS);
    }

    FrameBuilder spawn(int instance, String settings) {
        return record(24, out -> {
            byte[] text = settings.getBytes(StandardCharsets.UTF_8);
            out.writeShort(instance);
            out.writeLong(42);
            out.writeInt(text.length);
            out.write(text);
        });
    }

    FrameBuilder list(int number, long... servers) {
        return record(25, out -> {
            out.writeByte(number);
            out.writeInt(servers.length);
            for (long server : servers) {
                out.writeInt((int) server);
                out.writeShort(0);
                out.writeByte(0);
                out.writeShort(0);
                out.writeByte(3);
                out.writeFloat(1);
                out.writeLong(0);
            }
        });
    }

    FrameBuilder announce(int instance, int number, int kind) {
        return record(21, out -> {
            out.writeShort(instance);
            out.writeByte(number);
            out.writeByte(kind);
            out.writeInt(1);
        });
    }

    FrameBuilder submit(int instance, long id, long deadline) {
        return record(20, out -> {
            out.writeShort(instance);
            out.writeLong(id);
            out.writeLong(0);
            out.writeByte(0);
            out.writeLong(deadline);
            out.writeByte(0);
            out.writeShort(0);
            out.writeInt(0);
        });
    }

    FrameBuilder finished(int instance, long id, long server, int outcome, int loads) {
        return record(22, out -> {
            out.writeShort(instance);
            out.writeLong(id);
            out.writeShort(0);
            out.writeInt((int) server);
            out.writeShort(outcome);
            out.writeInt(1000);
            out.writeByte(outcome == 200 ? 1 : 0);
            out.writeByte(loads);
            for (int i = 0; i < loads; i++) {
                out.writeFloat(i);
            }
        });
    }

    /** Runs the drill over all frames; returns the records of each reply. */
    List<List<Reply>> run() throws IOException {
        var out = new ByteArrayOutputStream();
        new Drill(new ByteArrayInputStream(all.toByteArray()), out).run();
        List<List<Reply>> replies = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(out.toByteArray());
        while (in.hasRemaining()) {
            int end = in.getInt() + in.position();
            int count = in.getInt();
            List<Reply> reply = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                int code = in.get();
                ByteBuffer fields = in.slice(in.position() + 4, in.getInt());
                in.position(in.position() + fields.capacity());
                reply.add(new Reply(code, fields.getShort(), fields));
            }
            if (in.position() != end) {
                throw new AssertionError("reply ends at " + in.position() + ", expected " + end);
            }
            replies.add(reply);
        }
        return replies;
    }
}
