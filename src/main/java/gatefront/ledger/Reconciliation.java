package gatefront.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Finds what two instances know differently, by asking the other for sums where they differ and for entries where few
 * are left. What is asked and told grows with the differences, not with what both have.
 */
public final class Reconciliation {
    /** The other instance, as far as this needs it. */
    public interface Other {
        /** What it has in each child of a range. */
        List<DigestTree.Sum> children(DigestTree.Range range);

        /** What it has in a range. */
        List<LedgerEntry> entries(DigestTree.Range range);

        /** What it has altogether. */
        DigestTree.Sum all();

        /** An instance that is asked without a wire. */
        static Other of(DigestTree digests) {
            return new Other() {
                @Override
                public List<DigestTree.Sum> children(DigestTree.Range range) {
                    return digests.children(range);
                }

                @Override
                public List<LedgerEntry> entries(DigestTree.Range range) {
                    return digests.entries(range);
                }

                @Override
                public DigestTree.Sum all() {
                    return digests.sum(DigestTree.Range.ALL);
                }
            };
        }
    }

    /** One entry that is not the same on both sides; null on the side that does not have it. */
    public record Difference(EntryId id, LedgerEntry here, LedgerEntry there) {}

    /**
     * What came of it.
     *
     * @param differences in the order of their ids
     * @param steps questions asked
     * @param bytes of sums told, and about those of the entries
     */
    public record Result(List<Difference> differences, int steps, long bytes) {}

    /** Bytes of an entry on the wire, about. */
    private static final int ENTRY_BYTES = 80;

    private Reconciliation() {}

    /** Compares. Whatever the other says, it ends: each question is of a smaller range than the one before. */
    public static Result run(DigestTree own, Other other) {
        List<Difference> found = new ArrayList<>();
        int steps = 1;
        long bytes = DigestTree.Sum.BYTES;
        Deque<DigestTree.Range> differ = new ArrayDeque<>();
        if (!own.sum(DigestTree.Range.ALL).equals(other.all())) {
            differ.add(DigestTree.Range.ALL);
        }
        while (!differ.isEmpty()) {
            DigestTree.Range range = differ.poll();
            List<DigestTree.Sum> theirs = other.children(range);
            steps++;
            bytes += (long) theirs.size() * DigestTree.Sum.BYTES;
            for (int i = 0; i < DigestTree.BRANCHES; i++) {
                DigestTree.Range child = range.child(i);
                DigestTree.Sum mine = own.sum(child);
                if (mine.equals(theirs.get(i))) {
                    continue;
                }
                if (DigestTree.whole(child, Math.max(mine.count(), theirs.get(i).count()))) {
                    List<LedgerEntry> told = other.entries(child);
                    steps++;
                    bytes += (long) told.size() * ENTRY_BYTES;
                    compare(own.entries(child), told, found);
                } else {
                    differ.add(child);
                }
            }
        }
        found.sort((a, b) -> a.id.compareTo(b.id));
        return new Result(found, steps, bytes);
    }

    private static void compare(List<LedgerEntry> own, List<LedgerEntry> theirs, List<Difference> found) {
        Map<EntryId, LedgerEntry> left = new TreeMap<>();
        theirs.forEach(each -> left.put(each.id(), each));
        for (LedgerEntry each : own) {
            LedgerEntry there = left.remove(each.id());
            if (!each.equals(there)) {
                found.add(new Difference(each.id(), each, there));
            }
        }
        left.forEach((id, there) -> found.add(new Difference(id, null, there)));
    }
}
