package gatefront.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Instances that differ find out where, at a cost that grows with the differences. */
class ReconciliationTest {
    private static final int MANY = 1_000_000;

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

    /** Takes some out, changes some, adds some; returns their ids. */
    private static TreeSet<EntryId> differ(List<LedgerEntry> of, int differences, Random random) {
        TreeSet<EntryId> ids = new TreeSet<>();
        while (ids.size() < differences) {
            int at = random.nextInt(of.size());
            EntryId id = of.get(at).id();
            if (ids.contains(id)) {
                continue;
            }
            switch (ids.size() % 3) {
                case 0 -> of.remove(at);
                case 1 -> of.set(at, LedgerEntry.use(id, 7, "municipio-9", "consulta-saldo", UsageAmounts.NONE));
                default -> {
                    id = new EntryId("agente-9", 1, ids.size());
                    of.add(LedgerEntry.use(id, 7, "mitla", "pago", UsageAmounts.NONE));
                }
            }
            ids.add(id);
        }
        return ids;
    }

    @Test
    void fiveInstancesWithAMillionEntriesFindEachDifferenceAndTellNoMoreThanThatTakes() {
        List<LedgerEntry> all = entries(MANY);
        DigestTree own = new DigestTree(all);
        long[] bytes = new long[4];
        int[] differences = {0, 1, 10, 100};
        for (int i = 0; i < differences.length; i++) { // the other four
            List<LedgerEntry> theirs = new ArrayList<>(all);
            TreeSet<EntryId> ids = differ(theirs, differences[i], new Random(i));
            Reconciliation.Result result = Reconciliation.run(own, Reconciliation.Other.of(new DigestTree(theirs)));
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
        assertTrue(bytes[3] < MANY / 2, bytes[3] + " bytes, of a million entries");
    }

    @Test
    void smallAndEmptyOnesDifferAsAPlainComparisonSays() {
        for (int seed = 0; seed < 400; seed++) {
            Random random = new Random(seed);
            List<LedgerEntry> one = entries(random.nextInt(60));
            List<LedgerEntry> two = new ArrayList<>(one);
            TreeSet<EntryId> ids = differ(two, Math.min(one.size() / 3, random.nextInt(12)), random);
            Reconciliation.Result result =
                    Reconciliation.run(new DigestTree(one), Reconciliation.Other.of(new DigestTree(two)));
            assertEquals(
                    List.copyOf(ids),
                    result.differences().stream()
                            .map(Reconciliation.Difference::id)
                            .toList());
            for (Reconciliation.Difference each : result.differences()) {
                assertEquals(
                        one.stream()
                                .filter(its -> its.id().equals(each.id()))
                                .findAny()
                                .orElse(null),
                        each.here());
                assertEquals(
                        two.stream()
                                .filter(its -> its.id().equals(each.id()))
                                .findAny()
                                .orElse(null),
                        each.there());
            }
        }
        assertEquals(
                List.of(),
                Reconciliation.run(new DigestTree(List.of()), Reconciliation.Other.of(new DigestTree(List.of())))
                        .differences());
    }

    /** One that tells other sums each time makes no endless work. */
    @Test
    void whoLiesMakesNoEndlessWork() {
        Random random = new Random(1);
        Reconciliation.Other liar = new Reconciliation.Other() {
            @Override
            public List<DigestTree.Sum> children(DigestTree.Range range) {
                List<DigestTree.Sum> sums = new ArrayList<>();
                for (int i = 0; i < DigestTree.BRANCHES; i++) {
                    sums.add(new DigestTree.Sum(i == 3 ? 1_000_000 : 0, i == 3 ? random.nextLong() : 0, 0));
                }
                return sums;
            }

            @Override
            public List<LedgerEntry> entries(DigestTree.Range range) {
                return List.of();
            }

            @Override
            public DigestTree.Sum all() {
                return new DigestTree.Sum(5, 5, 5);
            }
        };
        Reconciliation.Result result = Reconciliation.run(new DigestTree(List.of()), liar);
        assertEquals(List.of(), result.differences());
        assertTrue(result.steps() < 50, result.steps() + " questions");
    }
}
