package gatefront.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Instances that differ find out where, at a cost that grows with the differences. */
class ReconcileTest {
    private static final int MANY = 1_000_000;

    private static Entry entry(int i, long requests) {
        return Entry.use(
                new EntryId("agente-" + i % 5, 1, i / 5),
                7,
                "municipio-" + i % 8,
                "consulta-saldo",
                new Amounts(requests, 2, 3, 4));
    }

    private static List<Entry> entries(int n) {
        List<Entry> all = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            all.add(entry(i, i % 100));
        }
        return all;
    }

    /** Takes some out, changes some, adds some; returns their ids. */
    private static TreeSet<EntryId> differ(List<Entry> of, int differences, Random random) {
        TreeSet<EntryId> ids = new TreeSet<>();
        while (ids.size() < differences) {
            int at = random.nextInt(of.size());
            EntryId id = of.get(at).id();
            if (ids.contains(id)) {
                continue;
            }
            switch (ids.size() % 3) {
                case 0 -> of.remove(at);
                case 1 -> of.set(at, Entry.use(id, 7, "municipio-9", "consulta-saldo", Amounts.NONE));
                default -> {
                    id = new EntryId("agente-9", 1, ids.size());
                    of.add(Entry.use(id, 7, "mitla", "pago", Amounts.NONE));
                }
            }
            ids.add(id);
        }
        return ids;
    }

    @Test
    void fiveInstancesWithAMillionEntriesFindEachDifferenceAndTellNoMoreThanThatTakes() {
        List<Entry> all = entries(MANY);
        Digests own = new Digests(all);
        long[] bytes = new long[4];
        int[] differences = {0, 1, 10, 100};
        for (int i = 0; i < differences.length; i++) { // the other four
            List<Entry> theirs = new ArrayList<>(all);
            TreeSet<EntryId> ids = differ(theirs, differences[i], new Random(i));
            Reconcile.Result result = Reconcile.run(own, Reconcile.Other.of(new Digests(theirs)));
            assertEquals(
                    List.copyOf(ids),
                    result.differences().stream().map(Reconcile.Difference::id).toList());
            bytes[i] = result.bytes();
        }
        assertEquals(Digests.Sum.BYTES, bytes[0]);
        assertTrue(bytes[1] < 4_000, bytes[1] + " bytes for one");
        assertTrue(bytes[3] < 100 * bytes[1], bytes[3] + " bytes for a hundred, " + bytes[1] + " for one");
        assertTrue(bytes[3] < MANY / 2, bytes[3] + " bytes, of a million entries");
    }

    @Test
    void smallAndEmptyOnesDifferAsAPlainComparisonSays() {
        for (int seed = 0; seed < 400; seed++) {
            Random random = new Random(seed);
            List<Entry> one = entries(random.nextInt(60));
            List<Entry> two = new ArrayList<>(one);
            TreeSet<EntryId> ids = differ(two, Math.min(one.size() / 3, random.nextInt(12)), random);
            Reconcile.Result result = Reconcile.run(new Digests(one), Reconcile.Other.of(new Digests(two)));
            assertEquals(
                    List.copyOf(ids),
                    result.differences().stream().map(Reconcile.Difference::id).toList());
            for (Reconcile.Difference each : result.differences()) {
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
                Reconcile.run(new Digests(List.of()), Reconcile.Other.of(new Digests(List.of())))
                        .differences());
    }

    /** One that tells other sums each time makes no endless work. */
    @Test
    void whoLiesMakesNoEndlessWork() {
        Random random = new Random(1);
        Reconcile.Other liar = new Reconcile.Other() {
            @Override
            public List<Digests.Sum> children(Digests.Range range) {
                List<Digests.Sum> sums = new ArrayList<>();
                for (int i = 0; i < Digests.BRANCHES; i++) {
                    sums.add(new Digests.Sum(i == 3 ? 1_000_000 : 0, i == 3 ? random.nextLong() : 0, 0));
                }
                return sums;
            }

            @Override
            public List<Entry> entries(Digests.Range range) {
                return List.of();
            }

            @Override
            public Digests.Sum all() {
                return new Digests.Sum(5, 5, 5);
            }
        };
        Reconcile.Result result = Reconcile.run(new Digests(List.of()), liar);
        assertEquals(List.of(), result.differences());
        assertTrue(result.steps() < 50, result.steps() + " questions");
    }
}
