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
    public interface Peer {
        /** What it has in each child of a range. */
        List<DigestTree.Sum> children(DigestTree.Range range);

        /** What it has in a range. */
        List<LedgerEntry> entries(DigestTree.Range range);

        /** What it has altogether. */
        DigestTree.Sum total();

        /** An instance that is asked without a wire. */
        static Peer of(DigestTree digests) {
            return new Peer() {
                @Override
                public List<DigestTree.Sum> children(DigestTree.Range range) {
                    return digests.children(range);
                }

                @Override
                public List<LedgerEntry> entries(DigestTree.Range range) {
                    return digests.entries(range);
                }

                @Override
                public DigestTree.Sum total() {
                    return digests.sum(DigestTree.Range.ALL);
                }
            };
        }
    }

    /** One entry that is not the same on both sides; null on the side that does not have it. */
    public record Difference(EntryId id, LedgerEntry local, LedgerEntry remote) {}

    /**
     * What came of it.
     *
     * @param differences in the order of their ids
     * @param queries questions asked
     * @param bytes of sums told, and about those of the entries
     */
    public record Result(List<Difference> differences, int queries, long bytes) {}

    /** Bytes of an entry on the wire, about. */
    private static final int APPROXIMATE_ENTRY_BYTES = 80;

    private Reconciliation() {}

    /** Compares. Whatever the other says, it ends: each question is of a smaller range than the one before. */
    public static Result run(DigestTree local, Peer peer) {
        List<Difference> differences = new ArrayList<>();
        int queries = 1;
        long bytes = DigestTree.Sum.BYTES;
        Deque<DigestTree.Range> pending = new ArrayDeque<>();
        if (!local.sum(DigestTree.Range.ALL).equals(peer.total())) {
            pending.add(DigestTree.Range.ALL);
        }
        while (!pending.isEmpty()) {
            DigestTree.Range range = pending.poll();
            List<DigestTree.Sum> remoteSums = peer.children(range);
            queries++;
            bytes += (long) remoteSums.size() * DigestTree.Sum.BYTES;
            for (int i = 0; i < DigestTree.BRANCHING_FACTOR; i++) {
                DigestTree.Range child = range.child(i);
                DigestTree.Sum localSum = local.sum(child);
                if (localSum.equals(remoteSums.get(i))) {
                    continue;
                }
                if (DigestTree.listsEntries(
                        child, Math.max(localSum.count(), remoteSums.get(i).count()))) {
                    List<LedgerEntry> remoteEntries = peer.entries(child);
                    queries++;
                    bytes += (long) remoteEntries.size() * APPROXIMATE_ENTRY_BYTES;
                    compare(local.entries(child), remoteEntries, differences);
                } else {
                    pending.add(child);
                }
            }
        }
        differences.sort((a, b) -> a.id.compareTo(b.id));
        return new Result(differences, queries, bytes);
    }

    private static void compare(List<LedgerEntry> local, List<LedgerEntry> remote, List<Difference> differences) {
        Map<EntryId, LedgerEntry> unmatched = new TreeMap<>();
        remote.forEach(each -> unmatched.put(each.id(), each));
        for (LedgerEntry each : local) {
            LedgerEntry match = unmatched.remove(each.id());
            if (!each.equals(match)) {
                differences.add(new Difference(each.id(), each, match));
            }
        }
        unmatched.forEach((id, match) -> differences.add(new Difference(id, null, match)));
    }
}
