package gatefront.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * What is written at once: some records, or none, which is a mark. Its checksum covers all of it and the number of its
 * file, so that bytes of another file, or of another place, are no frame.
 *
 * @param first the number of its first record; of a mark, of the next
 * @param durable the place in its file up to which everything had been forced to the disk when it was written
 * @param key the number of the key that signed it; 0 for none
 * @param mac its signature
 * @param records what it holds
 * @param length its bytes, with the head
 */
record Frame(long first, long durable, int key, byte[] mac, List<byte[]> records, int length) {
    static final int HEAD = 32 + SigningKeys.MAC;
    /** Bytes of a frame's body at the most. */
    static final int BODY_MOST = 16 << 20;

    private static final int CRC_AT = 4;

    /** Bytes that a record takes in a frame's body. */
    static int room(byte[] record) {
        return Integer.BYTES + record.length;
    }

    /** The bytes of a new frame; the chain goes on to it. */
    static ByteBuffer write(long file, long first, long durable, List<byte[]> records, SignatureChain chain) {
        int body = records.stream().mapToInt(Frame::room).sum();
        if (body > BODY_MOST) {
            throw new IllegalArgumentException(body + " bytes are too much for a frame");
        }
        ByteBuffer bytes = ByteBuffer.allocate(HEAD + body);
        int key = chain.signing();
        bytes.putInt(body)
                .putInt(0)
                .putLong(first)
                .putLong(durable)
                .putInt(records.size())
                .putInt(key);
        bytes.position(HEAD);
        records.forEach(each -> bytes.putInt(each.length).put(each));
        byte[] mac = chain.sign(key, head(bytes, file), body(bytes, body));
        bytes.put(HEAD - SigningKeys.MAC, mac);
        chain.wrote(key, mac);
        bytes.putInt(CRC_AT, checksum(bytes, 0, body, file));
        return bytes.rewind();
    }

    /** The frame that begins at a place of a file's bytes; null if none does. Its signature is not looked at. */
    static Frame read(ByteBuffer bytes, int at, long file) {
        if (bytes.limit() - at < HEAD) {
            return null;
        }
        int body = bytes.getInt(at);
        if (body < 0
                || body > BODY_MOST
                || body > bytes.limit() - at - HEAD
                || bytes.getInt(at + CRC_AT) != checksum(bytes, at, body, file)) {
            return null;
        }
        int count = bytes.getInt(at + 24);
        List<byte[]> records = new ArrayList<>(Math.max(0, Math.min(count, body / Integer.BYTES)));
        ByteBuffer rest = bytes.duplicate().position(at + HEAD).limit(at + HEAD + body);
        while (rest.remaining() >= Integer.BYTES && records.size() < count) {
            int length = rest.getInt();
            if (length < 0 || length > rest.remaining()) {
                return null;
            }
            records.add(SignatureChain.bytes(rest, length));
        }
        if (rest.hasRemaining() || records.size() != count) {
            return null; // a writer of ours never made it, whatever its checksum says
        }
        byte[] mac = new byte[SigningKeys.MAC];
        bytes.get(at + HEAD - SigningKeys.MAC, mac);
        return new Frame(
                bytes.getLong(at + 8), bytes.getLong(at + 16), bytes.getInt(at + 28), mac, records, HEAD + body);
    }

    /** What is wrong with the signature of the frame that begins there, or null; the chain goes on to it. */
    String check(ByteBuffer bytes, int at, long file, SignatureChain chain) {
        ByteBuffer own = bytes.duplicate().position(at).limit(at + length).slice();
        return chain.read(key, mac, head(own, file), body(own, length - HEAD));
    }

    /** What of the head is signed: all but checksum and signature, and the number of the file. */
    private static byte[] head(ByteBuffer frame, long file) {
        ByteBuffer head = ByteBuffer.allocate(HEAD - SigningKeys.MAC - Integer.BYTES + Long.BYTES);
        head.putInt(frame.getInt(0))
                .putLong(frame.getLong(8))
                .putLong(frame.getLong(16))
                .putLong(frame.getLong(24));
        return head.putLong(file).array();
    }

    private static byte[] body(ByteBuffer frame, int length) {
        byte[] body = new byte[length];
        frame.get(HEAD, body);
        return body;
    }

    private static int checksum(ByteBuffer bytes, int at, int body, long file) {
        CRC32C sum = new CRC32C();
        sum.update(ByteBuffer.allocate(Long.BYTES).putLong(0, file));
        sum.update(bytes.duplicate().position(at).limit(at + CRC_AT));
        sum.update(bytes.duplicate().position(at + CRC_AT + Integer.BYTES).limit(at + HEAD + body));
        return (int) sum.getValue();
    }
}
