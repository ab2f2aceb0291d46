package gatefront.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A group of records that is written at once. A frame without records is an end marker. The checksum covers the whole
 * frame and the number of its file, so that stale blocks of another file are not accepted as a frame.
 *
 * @param firstRecord the number of its first record; for an end marker, the number of the next record
 * @param durableEnd the offset in its file up to which all data had been forced to the disk when it was written
 * @param keyId the number of the key that signed it; 0 if unsigned
 * @param signature its signature
 * @param records its records
 * @param length its size in bytes, including the header
 */
record Frame(long firstRecord, long durableEnd, int keyId, byte[] signature, List<byte[]> records, int length) {
    static final int HEADER_BYTES = 32 + SigningKeys.SIGNATURE_BYTES;
    /** The largest body of a frame, in bytes. */
    static final int MAX_BODY_BYTES = 16 << 20;

    private static final int CHECKSUM_OFFSET = 4;

    /** Returns the number of bytes that a record takes in a frame's body. */
    static int encodedSize(byte[] record) {
        return Integer.BYTES + record.length;
    }

    /** Encodes and signs a new frame, and advances the chain over it. */
    static ByteBuffer write(
            long fileNumber, long firstRecord, long durableEnd, List<byte[]> records, SignatureChain chain) {
        int bodyLength = records.stream().mapToInt(Frame::encodedSize).sum();
        if (bodyLength > MAX_BODY_BYTES) {
            throw new IllegalArgumentException(
                    "frame body of " + bodyLength + " bytes exceeds the limit of " + MAX_BODY_BYTES);
        }
        ByteBuffer bytes = ByteBuffer.allocate(HEADER_BYTES + bodyLength);
        int keyId = chain.signingKeyId();
        bytes.putInt(bodyLength)
                .putInt(0)
                .putLong(firstRecord)
                .putLong(durableEnd)
                .putInt(records.size())
                .putInt(keyId);
        bytes.position(HEADER_BYTES);
        records.forEach(record -> bytes.putInt(record.length).put(record));
        byte[] signature = chain.sign(keyId, signedHeader(bytes, fileNumber), bodyBytes(bytes, bodyLength));
        bytes.put(HEADER_BYTES - SigningKeys.SIGNATURE_BYTES, signature);
        chain.advance(keyId, signature);
        bytes.putInt(CHECKSUM_OFFSET, checksum(bytes, 0, bodyLength, fileNumber));
        return bytes.rewind();
    }

    /** Decodes the frame at an offset; returns null if there is no valid one. Does not verify its signature. */
    static Frame read(ByteBuffer bytes, int offset, long fileNumber) {
        if (bytes.limit() - offset < HEADER_BYTES) {
            return null;
        }
        int bodyLength = bytes.getInt(offset);
        if (bodyLength < 0
                || bodyLength > MAX_BODY_BYTES
                || bodyLength > bytes.limit() - offset - HEADER_BYTES
                || bytes.getInt(offset + CHECKSUM_OFFSET) != checksum(bytes, offset, bodyLength, fileNumber)) {
            return null;
        }
        int count = bytes.getInt(offset + 24);
        List<byte[]> records = new ArrayList<>(Math.max(0, Math.min(count, bodyLength / Integer.BYTES)));
        ByteBuffer remaining =
                bytes.duplicate().position(offset + HEADER_BYTES).limit(offset + HEADER_BYTES + bodyLength);
        while (remaining.remaining() >= Integer.BYTES && records.size() < count) {
            int length = remaining.getInt();
            if (length < 0 || length > remaining.remaining()) {
                return null;
            }
            records.add(SignatureChain.readBytes(remaining, length));
        }
        if (remaining.hasRemaining() || records.size() != count) {
            // The checksum is right, but no writer produces a body whose size and record count disagree.
            return null;
        }
        byte[] signature = new byte[SigningKeys.SIGNATURE_BYTES];
        bytes.get(offset + HEADER_BYTES - SigningKeys.SIGNATURE_BYTES, signature);
        return new Frame(
                bytes.getLong(offset + 8),
                bytes.getLong(offset + 16),
                bytes.getInt(offset + 28),
                signature,
                records,
                HEADER_BYTES + bodyLength);
    }

    /** Verifies the signature of this frame and advances the chain over it; returns what is wrong, or null. */
    String verifySignature(ByteBuffer bytes, int offset, long fileNumber, SignatureChain chain) {
        ByteBuffer frame =
                bytes.duplicate().position(offset).limit(offset + length).slice();
        String problem = chain.verifyAndAdvance(
                keyId, signature, signedHeader(frame, fileNumber), bodyBytes(frame, length - HEADER_BYTES));
        return problem == null ? null : "frame " + problem;
    }

    /** Returns the signed header data: all fields but checksum and signature, and the number of the file. */
    private static byte[] signedHeader(ByteBuffer frame, long fileNumber) {
        ByteBuffer header =
                ByteBuffer.allocate(HEADER_BYTES - SigningKeys.SIGNATURE_BYTES - Integer.BYTES + Long.BYTES);
        header.putInt(frame.getInt(0))
                .putLong(frame.getLong(8))
                .putLong(frame.getLong(16))
                .putLong(frame.getLong(24));
        return header.putLong(fileNumber).array();
    }

    private static byte[] bodyBytes(ByteBuffer frame, int length) {
        byte[] body = new byte[length];
        frame.get(HEADER_BYTES, body);
        return body;
    }

    private static int checksum(ByteBuffer bytes, int offset, int bodyLength, long fileNumber) {
        CRC32C sum = new CRC32C();
        sum.update(ByteBuffer.allocate(Long.BYTES).putLong(0, fileNumber));
        sum.update(bytes.duplicate().position(offset).limit(offset + CHECKSUM_OFFSET));
        sum.update(bytes.duplicate()
                .position(offset + CHECKSUM_OFFSET + Integer.BYTES)
                .limit(offset + HEADER_BYTES + bodyLength));
        return (int) sum.getValue();
    }
}
