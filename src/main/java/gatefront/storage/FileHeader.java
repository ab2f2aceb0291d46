package gatefront.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The header at the start of each file of a store.
 *
 * @param kind segment or snapshot
 * @param number for a segment, its sequence number; for a snapshot, the number of the first record it does not contain
 * @param firstRecord the number of the first record that follows the header
 * @param previousEnd for a segment, the offset in the previous segment at which its valid data ends
 * @param previousSignature the last signature of the chain before this file
 * @param keyId the number of the key that signed the header; 0 if unsigned
 * @param signature the signature of the header
 */
record FileHeader(
        Kind kind,
        long number,
        long firstRecord,
        long previousEnd,
        byte[] previousSignature,
        int keyId,
        byte[] signature) {
    /** The kinds of files, with the magic word each begins with. */
    enum Kind {
        SEGMENT("GFLOG"),
        SNAPSHOT("GFSNAP");

        private final String magic;

        Kind(String magic) {
            this.magic = magic;
        }
    }

    static final int BYTES = 8 + 3 * Long.BYTES + 2 * Integer.BYTES + 2 * SigningKeys.SIGNATURE_BYTES;
    /** The format version written. Readers must support every version ever released; so far this is the only one. */
    static final byte VERSION = 1;

    private static final int VERSION_OFFSET = 7;
    private static final int SIGNATURE_OFFSET = BYTES - SigningKeys.SIGNATURE_BYTES;
    private static final int CHECKSUM_OFFSET = SIGNATURE_OFFSET - SigningKeys.SIGNATURE_BYTES - Integer.BYTES;

    /** Encodes and signs a new header, and advances the chain over it. */
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

    /**
     * Decodes and checks a header, and restarts the chain from the previous signature that it states. The signature is
     * not verified if {@code chain} is null.
     */
    static FileHeader read(String file, ByteBuffer bytes, Kind kind, SignatureChain chain)
            throws CorruptStoreException {
        if (bytes.limit() < BYTES) {
            throw new CorruptStoreException(
                    file, bytes.limit(), "file header truncated: got " + bytes.limit() + " of " + BYTES + " bytes");
        }
        for (int i = 0; i < VERSION_OFFSET; i++) {
            if (bytes.get(i) != (i < kind.magic.length() ? (byte) kind.magic.charAt(i) : 0)) {
                throw new CorruptStoreException(file, i, "not a " + kind + " file: expected magic " + kind.magic);
            }
        }
        if (bytes.getInt(CHECKSUM_OFFSET) != checksum(bytes)) {
            throw new CorruptStoreException(
                    file,
                    0,
                    "file header checksum mismatch: stored "
                            + Integer.toHexString(bytes.getInt(CHECKSUM_OFFSET))
                            + ", computed " + Integer.toHexString(checksum(bytes)));
        }
        if (bytes.get(VERSION_OFFSET) != VERSION) {
            throw new CorruptStoreException(
                    file,
                    VERSION_OFFSET,
                    "file format " + bytes.get(VERSION_OFFSET) + " is not supported (latest supported: " + VERSION
                            + "); the file was written by a newer version");
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
                throw new CorruptStoreException(file, SIGNATURE_OFFSET, "file header " + problem);
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
