package gatefront.thrift;

import gatefront.engine.Payload;
import gatefront.thrift.codec.ThriftEncoding;
import gatefront.thrift.codec.ThriftMessage;

/**
 * A call on its way to a server.
 *
 * @param message as it came
 * @param timeoutAt where in its body the caller's time stands; -1 if nowhere
 * @param timeoutBytes how many bytes it takes there
 */
record ThriftCall(ThriftMessage message, int timeoutAt, int timeoutBytes) implements Payload {
    @Override
    public long bodyBytes() {
        return message.body().length;
    }

    /**
     * The arguments, byte for byte but for the time: in its place and of its length is what is left. What is left is
     * never more than there was, so in the compact protocol its varint fits, with groups of zeros behind.
     */
    byte[] body(long millisLeft) {
        boolean compact = message.encoding() == ThriftEncoding.COMPACT;
        int bits = compact ? 7 * timeoutBytes - 1 : 8 * timeoutBytes - 1;
        if (timeoutAt < 0 || millisLeft <= 0 || bits < 63 && millisLeft >> bits != 0) {
            return message.body();
        }
        byte[] body = message.body().clone();
        for (int i = 0; i < timeoutBytes; i++) {
            boolean last = i == timeoutBytes - 1;
            body[timeoutAt + i] = compact
                    ? (byte) (millisLeft << 1 >> 7 * i & 0x7f | (last ? 0 : 0x80))
                    : (byte) (millisLeft >> 8 * (timeoutBytes - 1 - i));
        }
        return body;
    }
}
