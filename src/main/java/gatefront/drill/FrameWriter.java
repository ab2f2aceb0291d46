package gatefront.drill;

import gatefront.policy.Balancer;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects one reply in a reused buffer; the actions of the current instance become records. */
final class FrameWriter implements Balancer.Actions {
    private static final int HEADER = 8;
    private static final int MAX_TEXT = 0xffff;
    private static final long MAX_U32 = 0xffffffffL;

    private byte[] buffer = new byte[1 << 16];
    private int at = HEADER;
    private int records;
    private int instance;

    /** The instance that the following actions belong to. */
    void instance(int instance) {
        this.instance = instance;
    }

    /** Writes the reply out and starts the next. */
    void flush(OutputStream out) throws IOException {
        int end = at;
        at = 0;
        i32(end - 4);
        i32(records);
        out.write(buffer, 0, end);
        out.flush();
        at = HEADER;
        records = 0;
    }

    @Override
    public void send(long request, long server, long timeout) {
        begin(16, 18);
        i64(request);
        i32((int) server);
        i32(micros(timeout));
    }

    @Override
    public void refuse(long request, long retryAfter) {
        begin(17, 14);
        i64(request);
        i32(micros(retryAfter));
    }

    @Override
    public void fail(long request) {
        begin(18, 10);
        i64(request);
    }

    @Override
    public void cancel(long request, int attempt) {
        begin(19, 12);
        i64(request);
        i16(attempt);
    }

    @Override
    public void timer(long token, long delay) {
        begin(20, 14);
        i64(token);
        i32(micros(delay));
    }

    @Override
    public void probe(long server) {
        begin(21, 6);
        i32((int) server);
    }

    @Override
    public void closeIdle(long server) {
        begin(22, 6);
        i32((int) server);
    }

    @Override
    public void sendMessage(int agent, byte[] message) {
        begin(23, 8 + message.length);
        i32(agent);
        i16(message.length);
        bytes(message, message.length);
    }

    @Override
    public void log(String line) {
        text(24, line);
    }

    @Override
    public void watchServers() {
        begin(26, 3);
        buffer[at++] = 1;
    }

    @Override
    public void fetchServers() {
        begin(27, 2);
    }

    /** Tells that the module has failed. */
    void die(String why) {
        text(25, why);
    }

    private void text(int code, String line) {
        byte[] utf8 = line.getBytes(StandardCharsets.UTF_8);
        int n = Math.min(utf8.length, MAX_TEXT);
        begin(code, 4 + n);
        i16(n);
        bytes(utf8, n);
    }

    private static int micros(long value) {
        return (int) Math.max(0, Math.min(MAX_U32, value));
    }

    private void begin(int code, int size) {
        if (buffer.length - at < size + 5) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, at + size + 5));
        }
        buffer[at++] = (byte) code;
        i32(size);
        i16(instance);
        records++;
    }

    private void i16(int value) {
        buffer[at++] = (byte) (value >>> 8);
        buffer[at++] = (byte) value;
    }

    private void i32(int value) {
        i16(value >>> 16);
        i16(value);
    }

    private void i64(long value) {
        i32((int) (value >>> 32));
        i32((int) value);
    }

    private void bytes(byte[] from, int length) {
        System.arraycopy(from, 0, buffer, at, length);
        at += length;
    }
}
