package gatefront.ledger;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * What one instance knows of a period, as a tree of digests: each entry has a place by a hash of its id, each range of
 * places the sum of the digests of what is in it. Two instances that differ in {@code d} of {@code n} entries find
 * them by some {@code d log n} digests. The tree is never built: sums over the entries in the order of their places
 * give the digest of any range as a difference.
 *
 * <p>A digest is the first 128 bits of SHA-256, a range's the sum modulo 2^128. It tells an accident, not an enemy who
 * may choose entries; what comes from outside is signed on its way.
 */
public final class DigestTree {
    /** Children of a range. */
    static final int BRANCHING_FACTOR = 16;

    private static final int BITS_PER_LEVEL = 4;
    /** Ranges with no more entries are told whole. */
    private static final int MAX_LISTED_ENTRIES = 8;

    /** Places whose first {@code bits} bits are those of {@code from}. */
    public record Range(long prefix, int bits) {
        /** All. */
        public static final Range ALL = new Range(0, 0);

        Range child(int index) {
            return new Range(prefix | (long) index << Long.SIZE - bits - BITS_PER_LEVEL, bits + BITS_PER_LEVEL);
        }
    }

    /** What is in a range: how many entries, and the sum of their digests. */
    public record Sum(int count, long high, long low) {
        /** Bytes that it takes on the wire. */
        static final int BYTES = Integer.BYTES + 2 * Long.BYTES;
    }

    private record HashedEntry(long position, long high, long low, LedgerEntry entry) {}

    private final LedgerEntry[] entries;
    private final long[] positions;
    /** Sums of the digests of all before each. */
    private final long[] highSums;

    private final long[] lowSums;

    /** Of some entries, each id once. */
    public DigestTree(Iterable<LedgerEntry> source) {
        List<HashedEntry> hashed = new ArrayList<>();
        MessageDigest sha256;
        try {
            sha256 = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every JDK has it
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
            positions[i] = entry.position ^ Long.MIN_VALUE; // so that signed order is theirs
            lowSums[i + 1] = lowSums[i] + entry.low;
            highSums[i + 1] = highSums[i] + entry.high + carry(lowSums[i], entry.low);
        }
    }

    /** Two for each character: an encoding would be a matter of I/O. */
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

    /** What is in a range. */
    public Sum sum(Range range) {
        int from = firstIndex(range.prefix);
        int end = endIndex(range);
        long lowSum = lowSums[end] - lowSums[from];
        long borrow = Long.compareUnsigned(lowSums[end], lowSums[from]) < 0 ? 1 : 0;
        return new Sum(end - from, highSums[end] - highSums[from] - borrow, lowSum);
    }

    /** What is in each child of a range. */
    public List<Sum> children(Range range) {
        List<Sum> sums = new ArrayList<>(BRANCHING_FACTOR);
        for (int i = 0; i < BRANCHING_FACTOR; i++) {
            sums.add(sum(range.child(i)));
        }
        return sums;
    }

    /** The entries of a range. */
    public List<LedgerEntry> entries(Range range) {
        return Arrays.asList(entries).subList(firstIndex(range.prefix), endIndex(range));
    }

    /** Whether a range is to be told whole, there being so few in it, or no smaller ranges. */
    static boolean listsEntries(Range range, int maxCount) {
        return maxCount <= MAX_LISTED_ENTRIES || range.bits + BITS_PER_LEVEL > Long.SIZE;
    }
}
