package gatefront.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The beginning of each file of a store.
 *
 * @param kind segment or snapshot
 * @param number of a segment, its place among all; of a snapshot, the number of the first record that it does not hold
 * @param first the number of the first record that follows it
 * @param before of a segment, the place in the one before it beyond which nothing counts
 * @param chain the last signature before it
 * @param key the number of the key that signed the head; 0 for none
 * @param mac its signature
 */
record FileHeader(Kind kind, long number, long first, long before, byte[] chain, int key, byte[] mac) {
    /** What a file is. */
    enum Kind {
        SEGMENT("GFLOG"),
        SNAPSHOT("GFSNAP");

        private final String magic;

        Kind(String magic) {
            this.magic = magic;
        }
    }

    static final int BYTES = 8 + 3 * Long.BYTES + 2 * Integer.BYTES + 2 * SigningKeys.MAC;
    /** The format that is written. A reader has a branch for each that was ever written; so far there is this one. */
    static final byte VERSION = 1;

    private static final int MAGIC = 7;
    private static final int MAC_AT = BYTES - SigningKeys.MAC;
    private static final int CRC_AT = MAC_AT - SigningKeys.MAC - Integer.BYTES;

    /** The bytes of a new head; the chain goes on to it. */
    static ByteBuffer write(Kind kind, long number, long first, long before, SignatureChain chain) {
        ByteBuffer bytes = ByteBuffer.allocate(BYTES);
        for (int i = 0; i < kind.magic.length(); i++) {
            bytes.put(i, (byte) kind.magic.charAt(i));
        }
        int key = chain.signing();
        bytes.put(MAGIC, VERSION)
                .position(8)
                .putLong(number)
                .putLong(first)
                .putLong(before)
                .putInt(key)
                .putInt(0)
                .put(chain.last());
        byte[] mac = chain.sign(key, signed(bytes), new byte[0]);
        bytes.put(MAC_AT, mac);
        chain.wrote(key, mac);
        return bytes.putInt(CRC_AT, checksum(bytes)).rewind();
    }

    /** Reads a head and follows its chain from what it says; without a chain its signature is not looked at. */
    static FileHeader read(String file, ByteBuffer bytes, Kind kind, SignatureChain chain)
            throws CorruptStoreException {
        if (bytes.limit() < BYTES) {
            throw new CorruptStoreException(file, bytes.limit(), "ends within its head");
        }
        for (int i = 0; i < MAGIC; i++) {
            if (bytes.get(i) != (i < kind.magic.length() ? (byte) kind.magic.charAt(i) : 0)) {
                throw new CorruptStoreException(file, i, "does not begin as such a file does");
            }
        }
        if (bytes.getInt(CRC_AT) != checksum(bytes)) {
            throw new CorruptStoreException(file, 0, "its head has another checksum than its bytes");
        }
        if (bytes.get(MAGIC) != VERSION) {
            throw new CorruptStoreException(
                    file,
                    MAGIC,
                    "has format " + bytes.get(MAGIC) + ", and formats up to " + VERSION
                            + " are known here; a newer program wrote it");
        }
        byte[] before = new byte[SigningKeys.MAC];
        bytes.get(CRC_AT + Integer.BYTES, before);
        byte[] mac = new byte[SigningKeys.MAC];
        bytes.get(MAC_AT, mac);
        FileHeader head = new FileHeader(
                kind, bytes.getLong(8), bytes.getLong(16), bytes.getLong(24), before, bytes.getInt(32), mac);
        if (chain != null) {
            chain.begin(before);
            String wrong = chain.read(head.key, mac, signed(bytes), new byte[0]);
            if (wrong != null) {
                throw new CorruptStoreException(file, MAC_AT, "its head " + wrong);
            }
        }
        return head;
    }

    private static byte[] signed(ByteBuffer bytes) {
        byte[] all = new byte[CRC_AT];
        bytes.get(0, all);
        return all;
    }

    private static int checksum(ByteBuffer bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes.duplicate().position(0).limit(CRC_AT));
        sum.update(bytes.duplicate().position(CRC_AT + Integer.BYTES).limit(BYTES));
        return (int) sum.getValue();
    }
}
