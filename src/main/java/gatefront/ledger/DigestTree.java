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
    static final int BRANCHES = 16;

    private static final int BITS = 4;
    /** Ranges with no more entries are told whole. */
    private static final int FEW = 8;

    /** Places whose first {@code bits} bits are those of {@code from}. */
    public record Range(long from, int bits) {
        /** All. */
        public static final Range ALL = new Range(0, 0);

        Range child(int i) {
            return new Range(from | (long) i << Long.SIZE - bits - BITS, bits + BITS);
        }
    }

    /** What is in a range: how many entries, and the sum of their digests. */
    public record Sum(int count, long high, long low) {
        /** Bytes that it takes on the wire. */
        static final int BYTES = Integer.BYTES + 2 * Long.BYTES;
    }

    private record Placed(long place, long high, long low, LedgerEntry entry) {}

    private final LedgerEntry[] entries;
    private final long[] places;
    /** Sums of the digests of all before each. */
    private final long[] high;

    private final long[] low;

    /** Of some entries, each id once. */
    public DigestTree(Iterable<LedgerEntry> from) {
        List<Placed> placed = new ArrayList<>();
        MessageDigest sha;
        try {
            sha = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every JDK has it
        }
        for (LedgerEntry each : from) {
            byte[] of = sha.digest(bytes(text(each)));
            placed.add(new Placed(
                    number(sha.digest(bytes(each.id().toString())), 0), number(of, 0), number(of, Long.BYTES), each));
        }
        placed.sort(Comparator.<Placed>comparingLong(each -> each.place ^ Long.MIN_VALUE)
                .thenComparing(each -> each.entry.id()));
        int n = placed.size();
        entries = new LedgerEntry[n];
        places = new long[n];
        high = new long[n + 1];
        low = new long[n + 1];
        for (int i = 0; i < n; i++) {
            Placed each = placed.get(i);
            entries[i] = each.entry;
            places[i] = each.place ^ Long.MIN_VALUE; // so that signed order is theirs
            low[i + 1] = low[i] + each.low;
            high[i + 1] = high[i] + each.high + carry(low[i], each.low);
        }
    }

    /** Two for each character: an encoding would be a matter of I/O. */
    private static byte[] bytes(String text) {
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

    private static long number(byte[] bytes, int at) {
        long n = 0;
        for (int i = 0; i < Long.BYTES; i++) {
            n = n << Byte.SIZE | bytes[at + i] & 0xff;
        }
        return n;
    }

    private static String text(LedgerEntry e) {
        return e.id() + "\n" + e.kind() + "\n" + e.period() + "\n" + e.tenant() + "\n" + e.type() + "\n" + e.amounts()
                + "\n" + e.corrects() + "\n" + e.why();
    }

    private int first(long place) {
        int at = Arrays.binarySearch(places, place ^ Long.MIN_VALUE);
        if (at < 0) {
            return -at - 1;
        }
        while (at > 0 && places[at - 1] == places[at]) {
            at--;
        }
        return at;
    }

    private int end(Range range) {
        long last = range.bits == 0 ? -1 : range.from | -1L >>> range.bits;
        return last == -1 ? places.length : first(last + 1);
    }

    /** What is in a range. */
    public Sum sum(Range range) {
        int from = first(range.from);
        int end = end(range);
        long lowSum = low[end] - low[from];
        long borrow = Long.compareUnsigned(low[end], low[from]) < 0 ? 1 : 0;
        return new Sum(end - from, high[end] - high[from] - borrow, lowSum);
    }

    /** What is in each child of a range. */
    public List<Sum> children(Range range) {
        List<Sum> sums = new ArrayList<>(BRANCHES);
        for (int i = 0; i < BRANCHES; i++) {
            sums.add(sum(range.child(i)));
        }
        return sums;
    }

    /** The entries of a range. */
    public List<LedgerEntry> entries(Range range) {
        return Arrays.asList(entries).subList(first(range.from), end(range));
    }

    /** Whether a range is to be told whole, there being so few in it, or no smaller ranges. */
    static boolean whole(Range range, int most) {
        return most <= FEW || range.bits + BITS > Long.SIZE;
    }
}
