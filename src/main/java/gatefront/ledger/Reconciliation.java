package gatefront.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Finds the entries in which two instances differ. It asks the peer for the sums of ranges that differ, and for entries
 * once a range has few of them. The traffic grows with the number of differences, not with the number of entries.
 */
public final class Reconciliation {
    /** The queries that are sent to the other instance. */
    public interface Peer {
        /** Returns its sums of all children of a range. */
        List<DigestTree.Sum> children(DigestTree.Range range);

        /** Returns its entries of a range. */
        List<LedgerEntry> entries(DigestTree.Range range);

        /** Returns its sum of all entries. */
        DigestTree.Sum total();

        /** Returns a peer in the same process. */
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

    /** An entry that differs between the two sides; null on a side that lacks it. */
    public record Difference(EntryId id, LedgerEntry local, LedgerEntry remote) {}

    /**
     * The result of a reconciliation.
     *
     * @param differences the differing entries, in the order of their ids
     * @param queries the number of queries sent to the peer
     * @param bytes the bytes received: exact for sums, approximate for entries
     */
    public record Result(List<Difference> differences, int queries, long bytes) {}

    /** The approximate size of an entry on the wire, in bytes. */
    private static final int APPROXIMATE_ENTRY_BYTES = 80;

    private Reconciliation() {}

    /** Compares two instances. It terminates whatever the peer returns, as each query narrows the range. */
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
        remote.forEach(entry -> unmatched.put(entry.id(), entry));
        for (LedgerEntry entry : local) {
            LedgerEntry match = unmatched.remove(entry.id());
            if (!entry.equals(match)) {
                differences.add(new Difference(entry.id(), entry, match));
            }
        }
        unmatched.forEach((id, match) -> differences.add(new Difference(id, null, match)));
    }
}
