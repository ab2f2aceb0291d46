package gatefront.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * What is written at once: some records, or none, which is a mark. Its checksum covers all of it and the number of its
 * file, so that bytes of another file, or of another place, are no frame.
 *
 * @param firstRecord the number of its first record; of a mark, of the next
 * @param durableEnd the place in its file up to which everything had been forced to the disk when it was written
 * @param keyId the number of the key that signed it; 0 for none
 * @param signature its signature
 * @param records what it holds
 * @param length its bytes, with the head
 */
record Frame(long firstRecord, long durableEnd, int keyId, byte[] signature, List<byte[]> records, int length) {
    static final int HEADER_BYTES = 32 + SigningKeys.SIGNATURE_BYTES;
    /** Bytes of a frame's body at the most. */
    static final int MAX_BODY_BYTES = 16 << 20;

    private static final int CHECKSUM_OFFSET = 4;

    /** Bytes that a record takes in a frame's body. */
    static int encodedSize(byte[] record) {
        return Integer.BYTES + record.length;
    }

    /** The bytes of a new frame; the chain goes on to it. */
    static ByteBuffer write(
            long fileNumber, long firstRecord, long durableEnd, List<byte[]> records, SignatureChain chain) {
        int bodyLength = records.stream().mapToInt(Frame::encodedSize).sum();
        if (bodyLength > MAX_BODY_BYTES) {
            throw new IllegalArgumentException(bodyLength + " bytes are too much for a frame");
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

    /** The frame that begins at a place of a file's bytes; null if none does. Its signature is not looked at. */
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
            return null; // a writer of ours never made it, whatever its checksum says
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

    /** What is wrong with the signature of the frame that begins there, or null; the chain goes on to it. */
    String verifySignature(ByteBuffer bytes, int offset, long fileNumber, SignatureChain chain) {
        ByteBuffer frame =
                bytes.duplicate().position(offset).limit(offset + length).slice();
        return chain.verifyAndAdvance(
                keyId, signature, signedHeader(frame, fileNumber), bodyBytes(frame, length - HEADER_BYTES));
    }

    /** What of the head is signed: all but checksum and signature, and the number of the file. */
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
