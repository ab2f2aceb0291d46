package gatefront.ledger;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * The entries of one instance as a tree of digests. Each entry has a position, the hash of its id, and each range of
 * positions has the sum of the digests of its entries. Two instances that differ in {@code d} of {@code n} entries find
 * the differences by comparing about {@code d log n} digests. The tree is never built: prefix sums over the entries in
 * the order of their positions give the digest of any range as a difference.
 *
 * <p>An entry's digest is the first 128 bits of SHA-256; a range's digest is the sum modulo 2^128. It detects
 * accidental differences, but not entries chosen by an attacker; data from other instances must be authenticated in
 * transit.
 */
public final class DigestTree {
    /** The number of children of a range. */
    static final int BRANCHING_FACTOR = 16;

    private static final int BITS_PER_LEVEL = 4;
    /** Ranges with at most this many entries are compared entry by entry. */
    private static final int MAX_LISTED_ENTRIES = 8;

    /** The positions whose first {@code bits} bits equal those of {@code prefix}. */
    public record Range(long prefix, int bits) {
        /** All positions. */
        public static final Range ALL = new Range(0, 0);

        Range child(int index) {
            return new Range(prefix | (long) index << Long.SIZE - bits - BITS_PER_LEVEL, bits + BITS_PER_LEVEL);
        }
    }

    /** The number of entries in a range and the sum of their digests, as the two halves of a 128-bit number. */
    public record Sum(int count, long high, long low) {
        /** The size on the wire, in bytes. */
        static final int BYTES = Integer.BYTES + 2 * Long.BYTES;
    }

    private record HashedEntry(long position, long high, long low, LedgerEntry entry) {}

    private final LedgerEntry[] entries;
    private final long[] positions;
    /** High halves of the sums of the digests of all entries before each index. */
    private final long[] highSums;
    /** Low halves of the same sums. */
    private final long[] lowSums;

    /** Creates the tree of these entries, whose ids must be distinct. */
    public DigestTree(Iterable<LedgerEntry> source) {
        List<HashedEntry> hashed = new ArrayList<>();
        MessageDigest sha256;
        try {
            sha256 = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // SHA-256 is required of every Java platform
        }
        for (LedgerEntry entry : source) {
            byte[] digest = sha256.digest(utf16Bytes(canonicalText(entry)));
            hashed.add(new HashedEntry(
                    readLong(sha256.digest(utf16Bytes(entry.id().toString())), 0),
                    readLong(digest, 0),
                    readLong(digest, Long.BYTES),
                    entry));
        }
        hashed.sort(Comparator.<HashedEntry>comparingLong(entry -> entry.position ^ Long.MIN_VALUE)
                .thenComparing(entry -> entry.entry.id()));
        int n = hashed.size();
        entries = new LedgerEntry[n];
        positions = new long[n];
        highSums = new long[n + 1];
        lowSums = new long[n + 1];
        for (int i = 0; i < n; i++) {
            HashedEntry entry = hashed.get(i);
            entries[i] = entry.entry;
            positions[i] = entry.position ^ Long.MIN_VALUE; // makes the signed order of positions their unsigned order
            lowSums[i + 1] = lowSums[i] + entry.low;
            highSums[i + 1] = highSums[i] + entry.high + carry(lowSums[i], entry.low);
        }
    }

    /** Encodes a text as UTF-16BE without the charset classes, as this package must not use classes for I/O. */
    private static byte[] utf16Bytes(String text) {
        byte[] bytes = new byte[2 * text.length()];
        for (int i = 0; i < text.length(); i++) {
            bytes[2 * i] = (byte) (text.charAt(i) >> Byte.SIZE);
            bytes[2 * i + 1] = (byte) text.charAt(i);
        }
        return bytes;
    }

    private static long carry(long a, long b) {
        return Long.compareUnsigned(a + b, a) < 0 ? 1 : 0;
    }

    private static long readLong(byte[] bytes, int offset) {
        long value = 0;
        for (int i = 0; i < Long.BYTES; i++) {
            value = value << Byte.SIZE | bytes[offset + i] & 0xff;
        }
        return value;
    }

    /** Returns the text that is hashed. It must not change: instances of different versions compare digests. */
    private static String canonicalText(LedgerEntry entry) {
        return entry.id() + "\n" + entry.kind() + "\n" + entry.period() + "\n" + entry.tenant() + "\n" + entry.type()
                + "\n" + entry.amounts() + "\n" + entry.corrects() + "\n" + entry.why();
    }

    private int firstIndex(long position) {
        int index = Arrays.binarySearch(positions, position ^ Long.MIN_VALUE);
        if (index < 0) {
            return -index - 1;
        }
        while (index > 0 && positions[index - 1] == positions[index]) {
            index--;
        }
        return index;
    }

    private int endIndex(Range range) {
        long last = range.bits == 0 ? -1 : range.prefix | -1L >>> range.bits;
        return last == -1 ? positions.length : firstIndex(last + 1);
    }

    /** Returns the number of entries of a range and the sum of their digests. */
    public Sum sum(Range range) {
        int from = firstIndex(range.prefix);
        int end = endIndex(range);
        long lowSum = lowSums[end] - lowSums[from];
        long borrow = Long.compareUnsigned(lowSums[end], lowSums[from]) < 0 ? 1 : 0;
        return new Sum(end - from, highSums[end] - highSums[from] - borrow, lowSum);
    }

    /** Returns the sums of all children of a range. */
    public List<Sum> children(Range range) {
        List<Sum> sums = new ArrayList<>(BRANCHING_FACTOR);
        for (int i = 0; i < BRANCHING_FACTOR; i++) {
            sums.add(sum(range.child(i)));
        }
        return sums;
    }

    /** Returns the entries of a range. */
    public List<LedgerEntry> entries(Range range) {
        return Arrays.asList(entries).subList(firstIndex(range.prefix), endIndex(range));
    }

    /** Returns whether a range is compared entry by entry: it has few entries, or cannot be divided further. */
    static boolean listsEntries(Range range, int maxCount) {
        return maxCount <= MAX_LISTED_ENTRIES || range.bits + BITS_PER_LEVEL > Long.SIZE;
    }
}
