package gatefront.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The beginning of each file of a store.
 *
 * @param kind segment or snapshot
 * @param number of a segment, its place among all; of a snapshot, the number of the first record that it does not hold
 * @param firstRecord the number of the first record that follows it
 * @param previousEnd of a segment, the place in the one before it beyond which nothing counts
 * @param previousSignature the last signature before it
 * @param keyId the number of the key that signed the head; 0 for none
 * @param signature its signature
 */
record FileHeader(
        Kind kind,
        long number,
        long firstRecord,
        long previousEnd,
        byte[] previousSignature,
        int keyId,
        byte[] signature) {
    /** What a file is. */
    enum Kind {
        SEGMENT("GFLOG"),
        SNAPSHOT("GFSNAP");

        private final String magic;

        Kind(String magic) {
            this.magic = magic;
        }
    }

    static final int BYTES = 8 + 3 * Long.BYTES + 2 * Integer.BYTES + 2 * SigningKeys.SIGNATURE_BYTES;
    /** The format that is written. A reader has a branch for each that was ever written; so far there is this one. */
    static final byte VERSION = 1;

    private static final int VERSION_OFFSET = 7;
    private static final int SIGNATURE_OFFSET = BYTES - SigningKeys.SIGNATURE_BYTES;
    private static final int CHECKSUM_OFFSET = SIGNATURE_OFFSET - SigningKeys.SIGNATURE_BYTES - Integer.BYTES;

    /** The bytes of a new head; the chain goes on to it. */
    static ByteBuffer write(Kind kind, long number, long firstRecord, long previousEnd, SignatureChain chain) {
        ByteBuffer bytes = ByteBuffer.allocate(BYTES);
        for (int i = 0; i < kind.magic.length(); i++) {
            bytes.put(i, (byte) kind.magic.charAt(i));
        }
        int keyId = chain.signingKeyId();
        bytes.put(VERSION_OFFSET, VERSION)
                .position(8)
                .putLong(number)
                .putLong(firstRecord)
                .putLong(previousEnd)
                .putInt(keyId)
                .putInt(0)
                .put(chain.lastSignature());
        byte[] signature = chain.sign(keyId, signedBytes(bytes), new byte[0]);
        bytes.put(SIGNATURE_OFFSET, signature);
        chain.advance(keyId, signature);
        return bytes.putInt(CHECKSUM_OFFSET, checksum(bytes)).rewind();
    }

    /** Reads a head and follows its chain from what it says; without a chain its signature is not looked at. */
    static FileHeader read(String file, ByteBuffer bytes, Kind kind, SignatureChain chain)
            throws CorruptStoreException {
        if (bytes.limit() < BYTES) {
            throw new CorruptStoreException(file, bytes.limit(), "ends within its head");
        }
        for (int i = 0; i < VERSION_OFFSET; i++) {
            if (bytes.get(i) != (i < kind.magic.length() ? (byte) kind.magic.charAt(i) : 0)) {
                throw new CorruptStoreException(file, i, "does not begin as such a file does");
            }
        }
        if (bytes.getInt(CHECKSUM_OFFSET) != checksum(bytes)) {
            throw new CorruptStoreException(file, 0, "its head has another checksum than its bytes");
        }
        if (bytes.get(VERSION_OFFSET) != VERSION) {
            throw new CorruptStoreException(
                    file,
                    VERSION_OFFSET,
                    "has format " + bytes.get(VERSION_OFFSET) + ", and formats up to " + VERSION
                            + " are known here; a newer program wrote it");
        }
        byte[] previousSignature = new byte[SigningKeys.SIGNATURE_BYTES];
        bytes.get(CHECKSUM_OFFSET + Integer.BYTES, previousSignature);
        byte[] signature = new byte[SigningKeys.SIGNATURE_BYTES];
        bytes.get(SIGNATURE_OFFSET, signature);
        FileHeader header = new FileHeader(
                kind,
                bytes.getLong(8),
                bytes.getLong(16),
                bytes.getLong(24),
                previousSignature,
                bytes.getInt(32),
                signature);
        if (chain != null) {
            chain.startFrom(previousSignature);
            String problem = chain.verifyAndAdvance(header.keyId, signature, signedBytes(bytes), new byte[0]);
            if (problem != null) {
                throw new CorruptStoreException(file, SIGNATURE_OFFSET, "its head " + problem);
            }
        }
        return header;
    }

    private static byte[] signedBytes(ByteBuffer bytes) {
        byte[] signed = new byte[CHECKSUM_OFFSET];
        bytes.get(0, signed);
        return signed;
    }

    private static int checksum(ByteBuffer bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes.duplicate().position(0).limit(CHECKSUM_OFFSET));
        sum.update(bytes.duplicate().position(CHECKSUM_OFFSET + Integer.BYTES).limit(BYTES));
        return (int) sum.getValue();
    }
}
