package gatefront.thrift;

import gatefront.engine.Payload;
import gatefront.thrift.codec.ThriftEncoding;
import gatefront.thrift.codec.ThriftMessage;

/**
 * A call that is sent to servers.
 *
 * @param message the message as received from the client
 * @param timeoutOffset offset of the client's timeout value in the body; -1 if there is none
 * @param timeoutBytes encoded length of the timeout value
 */
record ThriftCall(ThriftMessage message, int timeoutOffset, int timeoutBytes) implements Payload {
    @Override
    public long bodyBytes() {
        return message.body().length;
    }

    /**
     * Returns the arguments with the timeout replaced by the remaining time, at the same encoded length; no other byte
     * changes. The remaining time never exceeds the original timeout, so in the compact protocol its varint fits
     * and is padded with zero groups. A value that does not fit leaves the arguments as they are.
     */
    byte[] bodyWithTimeout(long remainingMillis) {
        boolean compact = message.encoding() == ThriftEncoding.COMPACT;
        int bits = compact ? 7 * timeoutBytes - 1 : 8 * timeoutBytes - 1;
        if (timeoutOffset < 0 || remainingMillis <= 0 || bits < 63 && remainingMillis >> bits != 0) {
            return message.body();
        }
        byte[] body = message.body().clone();
        for (int i = 0; i < timeoutBytes; i++) {
            boolean last = i == timeoutBytes - 1;
            body[timeoutOffset + i] = compact
                    ? (byte) (remainingMillis << 1 >> 7 * i & 0x7f | (last ? 0 : 0x80))
                    : (byte) (remainingMillis >> 8 * (timeoutBytes - 1 - i));
        }
        return body;
    }
}
