package gatefront.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Tests that reconciliation finds all differences with traffic that grows with their number. */
class ReconciliationTest {
    private static final int ENTRY_COUNT = 1_000_000;

    private static LedgerEntry entry(int i, long requests) {
        return LedgerEntry.use(
                new EntryId("agente-" + i % 5, 1, i / 5),
                7,
                "municipio-" + i % 8,
                "consulta-saldo",
                new UsageAmounts(requests, 2, 3, 4));
    }

    private static List<LedgerEntry> entries(int n) {
        List<LedgerEntry> all = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            all.add(entry(i, i % 100));
        }
        return all;
    }

    /** Removes, changes and adds entries in turn; returns their ids. */
    private static TreeSet<EntryId> applyDifferences(List<LedgerEntry> entries, int differences, Random random) {
        TreeSet<EntryId> ids = new TreeSet<>();
        while (ids.size() < differences) {
            int index = random.nextInt(entries.size());
            EntryId id = entries.get(index).id();
            if (ids.contains(id)) {
                continue;
            }
            switch (ids.size() % 3) {
                case 0 -> entries.remove(index);
                case 1 -> entries.set(
                        index, LedgerEntry.use(id, 7, "municipio-9", "consulta-saldo", UsageAmounts.ZERO));
                default -> {
                    id = new EntryId("agente-9", 1, ids.size());
                    entries.add(LedgerEntry.use(id, 7, "mitla", "pago", UsageAmounts.ZERO));
                }
            }
            ids.add(id);
        }
        return ids;
    }

    @Test
    void largeTreesFindEveryDifferenceWithBoundedTraffic() {
        List<LedgerEntry> all = entries(ENTRY_COUNT);
        DigestTree local = new DigestTree(all);
        long[] bytes = new long[4];
        int[] differences = {0, 1, 10, 100};
        for (int i = 0; i < differences.length; i++) {
            List<LedgerEntry> remote = new ArrayList<>(all);
            TreeSet<EntryId> ids = applyDifferences(remote, differences[i], new Random(i));
            Reconciliation.Result result = Reconciliation.run(local, Reconciliation.Peer.of(new DigestTree(remote)));
            assertEquals(
                    List.copyOf(ids),
                    result.differences().stream()
                            .map(Reconciliation.Difference::id)
                            .toList());
            bytes[i] = result.bytes();
        }
        assertEquals(DigestTree.Sum.BYTES, bytes[0]);
        assertTrue(bytes[1] < 4_000, bytes[1] + " bytes for one");
        assertTrue(bytes[3] < 100 * bytes[1], bytes[3] + " bytes for a hundred, " + bytes[1] + " for one");
        assertTrue(bytes[3] < ENTRY_COUNT / 2, bytes[3] + " bytes, of a million entries");
    }

    @Test
    void smallAndEmptyTreesMatchAPlainComparison() {
        for (int seed = 0; seed < 400; seed++) {
            Random random = new Random(seed);
            List<LedgerEntry> local = entries(random.nextInt(60));
            List<LedgerEntry> remote = new ArrayList<>(local);
            TreeSet<EntryId> ids = applyDifferences(remote, Math.min(local.size() / 3, random.nextInt(12)), random);
            Reconciliation.Result result =
                    Reconciliation.run(new DigestTree(local), Reconciliation.Peer.of(new DigestTree(remote)));
            assertEquals(
                    List.copyOf(ids),
                    result.differences().stream()
                            .map(Reconciliation.Difference::id)
                            .toList());
            for (Reconciliation.Difference difference : result.differences()) {
                assertEquals(
                        local.stream()
                                .filter(entry -> entry.id().equals(difference.id()))
                                .findAny()
                                .orElse(null),
                        difference.local());
                assertEquals(
                        remote.stream()
                                .filter(entry -> entry.id().equals(difference.id()))
                                .findAny()
                                .orElse(null),
                        difference.remote());
            }
        }
        assertEquals(
                List.of(),
                Reconciliation.run(new DigestTree(List.of()), Reconciliation.Peer.of(new DigestTree(List.of())))
                        .differences());
    }

    /** Guards against endless work caused by a peer that answers with different sums each time. */
    @Test
    void peerWithChangingSumsCausesBoundedWork() {
        Random random = new Random(1);
        Reconciliation.Peer peer = new Reconciliation.Peer() {
            @Override
            public List<DigestTree.Sum> children(DigestTree.Range range) {
                List<DigestTree.Sum> sums = new ArrayList<>();
                for (int i = 0; i < DigestTree.BRANCHING_FACTOR; i++) {
                    sums.add(new DigestTree.Sum(i == 3 ? 1_000_000 : 0, i == 3 ? random.nextLong() : 0, 0));
                }
                return sums;
            }

            @Override
            public List<LedgerEntry> entries(DigestTree.Range range) {
                return List.of();
            }

            @Override
            public DigestTree.Sum total() {
                return new DigestTree.Sum(5, 5, 5);
            }
        };
        Reconciliation.Result result = Reconciliation.run(new DigestTree(List.of()), peer);
        assertEquals(List.of(), result.differences());
        assertTrue(result.queries() < 50, result.queries() + " queries");
    }

    /**
     * Guards against a changed text of digests, for example by a renamed enum constant: instances of different versions
     * would then see every entry as different.
     */
    @Test
    void digestsOfEntriesStayTheSameAcrossVersions() {
        assertDigest(
                LedgerEntry.use(
                        new EntryId("agente-1", 3, 8), 7, "mitla", "pago", new UsageAmounts(5, 8_000_000, 20, 30)),
                0xc2f06b085807b137L,
                0x8ad530b26e7c7293L,
                0xba710ec860b0a3b6L);
        assertDigest(
                new LedgerEntry(
                        new EntryId("agente-1", 3, 9),
                        LedgerEntry.Kind.CORRECTION,
                        7,
                        "",
                        "",
                        new UsageAmounts(-1, 2, -3, 4),
                        new EntryId("b", 0, 1),
                        "counted twice"),
                0x4a1e02c0971b1bfaL,
                0x9e3d03ce88a4f620L,
                0x4c80ba9c6620abe0L);
        assertDigest(
                LedgerEntry.closed(new EntryId("agente-1", 3, 10), 7, 2),
                0xbb47ae91b3d0fe75L,
                0xf8e20bbdb46ecad5L,
                0xe73d32f9f42bb6c7L);
    }

    private static void assertDigest(LedgerEntry entry, long position, long high, long low) {
        DigestTree tree = new DigestTree(List.of(entry));
        DigestTree.Sum expected = new DigestTree.Sum(1, high, low);
        assertEquals(expected, tree.sum(DigestTree.Range.ALL), () -> "digest of " + entry);
        int bits = Long.SIZE - 4;
        DigestTree.Range narrow = new DigestTree.Range(position & -1L << Long.SIZE - bits, bits);
        assertEquals(expected, tree.sum(narrow), () -> "position of " + entry);
    }
}
