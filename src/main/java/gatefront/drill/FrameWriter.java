package gatefront.drill;

import gatefront.policy.Balancer;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Encodes the actions of the current instance as records of one reply, in a reused buffer. */
final class FrameWriter implements Balancer.Actions {
    /** Codes of the records in a reply. */
    private static final int SEND = 16;

    private static final int REFUSE = 17;
    private static final int FAIL = 18;
    private static final int CANCEL = 19;
    private static final int TIMER = 20;
    private static final int PROBE = 21;
    private static final int CLOSE_IDLE = 22;
    private static final int MESSAGE = 23;
    private static final int LOG = 24;
    private static final int INSTANCE_FAILED = 25;
    private static final int WATCH_SERVERS = 26;
    private static final int FETCH_SERVERS = 27;

    private static final int HEADER_BYTES = 8;
    private static final int MAX_TEXT_BYTES = 0xffff;
    private static final long MAX_U32 = 0xffffffffL;

    private byte[] buffer = new byte[1 << 16];
    private int position = HEADER_BYTES;
    private int records;
    private int instance;

    /** Sets the instance that the following actions belong to. */
    void instance(int instance) {
        this.instance = instance;
    }

    /** Writes the reply and starts the next one. */
    void flush(OutputStream out) throws IOException {
        int end = position;
        position = 0;
        i32(end - 4);
        i32(records);
        out.write(buffer, 0, end);
        out.flush();
        position = HEADER_BYTES;
        records = 0;
    }

    @Override
    public void send(long request, long server, long timeout) {
        beginRecord(SEND, 18);
        i64(request);
        i32((int) server);
        i32(clampToU32(timeout));
    }

    @Override
    public void refuse(long request, long retryAfter) {
        beginRecord(REFUSE, 14);
        i64(request);
        i32(clampToU32(retryAfter));
    }

    @Override
    public void fail(long request) {
        beginRecord(FAIL, 10);
        i64(request);
    }

    @Override
    public void cancel(long request, int attempt) {
        beginRecord(CANCEL, 12);
        i64(request);
        i16(attempt);
    }

    @Override
    public void timer(long token, long delay) {
        beginRecord(TIMER, 14);
        i64(token);
        i32(clampToU32(delay));
    }

    @Override
    public void probe(long server) {
        beginRecord(PROBE, 6);
        i32((int) server);
    }

    @Override
    public void closeIdle(long server) {
        beginRecord(CLOSE_IDLE, 6);
        i32((int) server);
    }

    @Override
    public void sendMessage(int agent, byte[] message) {
        beginRecord(MESSAGE, 8 + message.length);
        i32(agent);
        i16(message.length);
        bytes(message, message.length);
    }

    @Override
    public void log(String line) {
        text(LOG, line);
    }

    @Override
    public void watchServers() {
        beginRecord(WATCH_SERVERS, 3);
        buffer[position++] = 1;
    }

    @Override
    public void fetchServers() {
        beginRecord(FETCH_SERVERS, 2);
    }

    /** Reports that the current instance has failed. */
    void instanceFailed(String reason) {
        text(INSTANCE_FAILED, reason);
    }

    private void text(int code, String line) {
        byte[] utf8 = line.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(utf8.length, MAX_TEXT_BYTES);
        beginRecord(code, 4 + length);
        i16(length);
        bytes(utf8, length);
    }

    private static int clampToU32(long value) {
        return (int) Math.max(0, Math.min(MAX_U32, value));
    }

    private void beginRecord(int code, int size) {
        if (buffer.length - position < size + 5) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, position + size + 5));
        }
        buffer[position++] = (byte) code;
        i32(size);
        i16(instance);
        records++;
    }

    private void i16(int value) {
        buffer[position++] = (byte) (value >>> 8);
        buffer[position++] = (byte) value;
    }

    private void i32(int value) {
        i16(value >>> 16);
        i16(value);
    }

    private void i64(long value) {
        i32((int) (value >>> 32));
        i32((int) value);
    }

    private void bytes(byte[] source, int length) {
        System.arraycopy(source, 0, buffer, position, length);
        position += length;
    }
}
