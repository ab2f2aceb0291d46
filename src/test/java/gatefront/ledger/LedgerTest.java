package gatefront.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests the totals and statuses of a ledger, which must not depend on the order of its entries. */
class LedgerTest {
    private static EntryId id(String instance, long sequence) {
        return new EntryId(instance, 1, sequence);
    }

    private static LedgerEntry use(String instance, long sequence, long period, String tenant, long requests) {
        return LedgerEntry.use(
                id(instance, sequence), period, tenant, "consulta", new UsageAmounts(requests, 10, 20, 30));
    }

    private static LedgerEntry correction(
            String instance, long sequence, long period, EntryId corrected, long requests) {
        return new LedgerEntry(
                id(instance, sequence),
                LedgerEntry.Kind.CORRECTION,
                period,
                "",
                "",
                new UsageAmounts(requests, 0, 0, 0),
                corrected,
                "counted twice");
    }

    private static Ledger ledgerOf(List<LedgerEntry> entries) throws Ledger.Conflict {
        Ledger ledger = Ledger.EMPTY;
        for (LedgerEntry entry : entries) {
            ledger = ledger.with(entry);
        }
        return ledger;
    }

    @Test
    void entryCountsOnceAndADifferentEntryWithItsIdIsAConflict() throws Exception {
        Ledger ledger = ledgerOf(List.of(use("a", 0, 7, "mitla", 5)));
        assertSame(ledger, ledger.with(use("a", 0, 7, "mitla", 5)));
        Ledger.Conflict e = assertThrows(Ledger.Conflict.class, () -> ledger.with(use("a", 0, 7, "mitla", 6)));
        assertTrue(
                e.getMessage().startsWith("entry a/1/0 exists with different contents: USE of period 7 mitla"),
                e.getMessage());
        assertEquals(5, ledger.total(7, "mitla").requests());
    }

    @Test
    void correctionCountsInItsOwnPeriodForTheCorrectedTenant() throws Exception {
        Ledger ledger = ledgerOf(
                List.of(use("a", 0, 7, "mitla", 5), use("a", 1, 8, "etla", 1), correction("b", 0, 8, id("a", 0), -2)));
        assertEquals(5, ledger.total(7, "mitla").requests(), "the closed period is unchanged");
        assertEquals(-2, ledger.total(8, "mitla").requests());
        ledger = ledger.with(correction("b", 1, 9, id("b", 0), 1));
        assertEquals(1, ledger.total(9, "mitla").requests(), "a correction of a correction counts for the same tenant");
    }

    @Test
    void correctionReceivedBeforeItsEntryIsHeldBack() throws Exception {
        Ledger ledger = ledgerOf(List.of(correction("b", 1, 9, id("b", 0), 1), correction("b", 0, 8, id("a", 0), -2)));
        assertEquals(2, ledger.unresolvedCorrections().size());
        assertEquals(Map.of(), ledger.totals(8));
        ledger = ledger.with(use("a", 0, 7, "mitla", 5));
        assertEquals(List.of(), ledger.unresolvedCorrections());
        assertEquals(-2, ledger.total(8, "mitla").requests());
        assertEquals(1, ledger.total(9, "mitla").requests());
    }

    @Test
    void cyclicCorrectionsAreNotCounted() throws Exception {
        Ledger ledger = ledgerOf(List.of(correction("b", 0, 8, id("b", 1), 1), correction("b", 1, 8, id("b", 0), 1)));
        assertEquals(Map.of(), ledger.totals(8));
        assertFalse(ledger.unresolvedCorrections().isEmpty());
    }

    /** Adds 300 random sets of entries, some entries twice, in random orders, and compares with plainly added sums. */
    @Test
    void ledgerDoesNotDependOnTheOrderOfEntries() throws Exception {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            List<LedgerEntry> entries = new ArrayList<>();
            long[] sums = new long[3];
            for (int i = 0; i < 30; i++) {
                int correctedIndex = entries.isEmpty() || random.nextInt(3) > 0 ? -1 : random.nextInt(entries.size());
                LedgerEntry entry = correctedIndex < 0
                        ? use("a", i, random.nextInt(3), "t" + random.nextInt(3), random.nextInt(100))
                        : correction(
                                "a",
                                i,
                                random.nextInt(3),
                                entries.get(correctedIndex).id(),
                                random.nextInt(21) - 10);
                entries.add(entry);
                sums[(int) entry.period()] += entry.amounts().requests();
            }
            Ledger ordered = ledgerOf(entries);
            List<LedgerEntry> shuffledEntries = new ArrayList<>(entries);
            shuffledEntries.addAll(entries.subList(0, 10));
            Collections.shuffle(shuffledEntries, random);
            Ledger shuffled = ledgerOf(shuffledEntries);
            for (long period = 0; period < 3; period++) {
                assertEquals(ordered.totals(period), shuffled.totals(period));
                assertEquals(
                        sums[(int) period],
                        ordered.totals(period).values().stream()
                                .mapToLong(UsageAmounts::requests)
                                .sum());
            }
            assertEquals(List.of(), shuffled.unresolvedCorrections());
            assertEquals(entries.size(), shuffled.size());
        }
    }

    @Test
    void partOfAnInstanceThatNeverClosedThePeriodIsUnknown() throws Exception {
        Ledger ledger = ledgerOf(List.of(
                use("a", 0, 7, "mitla", 5),
                use("a", 1, 7, "etla", 1),
                LedgerEntry.closed(id("a", 2), 7, 2),
                use("b", 0, 7, "mitla", 1),
                use("c", 1, 7, "mitla", 1),
                LedgerEntry.closed(id("c", 2), 7, 2)));
        assertEquals(
                Map.of(
                        "a/1",
                        Ledger.PartStatus.COMPLETE,
                        "b/1",
                        Ledger.PartStatus.UNKNOWN,
                        "c/1",
                        Ledger.PartStatus.INCOMPLETE,
                        "d",
                        Ledger.PartStatus.UNKNOWN),
                ledger.partStatuses(7, List.of("a", "b", "c", "d")));
        LedgerEntry afterRestart = LedgerEntry.use(new EntryId("b", 2, 0), 7, "mitla", "consulta", UsageAmounts.ZERO);
        Ledger updated = ledger.with(afterRestart).with(LedgerEntry.closed(new EntryId("b", 2, 1), 7, 1));
        assertEquals(
                Ledger.PartStatus.UNKNOWN,
                updated.partStatuses(7, List.of()).get("b/1"),
                "its first epoch never closed the period");
        assertEquals(
                Ledger.PartStatus.COMPLETE, updated.partStatuses(7, List.of()).get("b/2"));
    }

    @Test
    void overflowingSumIsReportedAndLeavesTheLedgerUnchanged() throws Exception {
        Ledger ledger = ledgerOf(List.of(use("a", 0, 7, "mitla", Long.MAX_VALUE)));
        assertThrows(ArithmeticException.class, () -> ledger.with(use("a", 1, 7, "mitla", 1)));
        assertEquals(1, ledger.size());
    }

    @Test
    void invalidEntriesAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> new EntryId("a b", 0, 0));
        assertThrows(IllegalArgumentException.class, () -> EntryId.parse("a/1"));
        assertThrows(IllegalArgumentException.class, () -> use("a", 0, -1, "mitla", 1));
        assertThrows(IllegalArgumentException.class, () -> use("a", 0, 1, "x".repeat(201), 1));
        assertThrows(IllegalArgumentException.class, () -> correction("a", 0, 1, null, 1));
        assertEquals(id("a", 3), EntryId.parse("a/1/3"));
    }

    @Test
    void clockSetBackReopensNoPeriodAndClockSetAheadClosesPassedPeriods() {
        PeriodClock periods = new PeriodClock(100, 10, 0, 1_050);
        assertEquals(10, periods.open());
        assertFalse(periods.advanceTo(1_099));
        assertFalse(periods.advanceTo(1_105));
        assertEquals(11, periods.open());
        assertEquals(10, periods.firstUnclosed(), "the previous period is in its grace time");
        assertEquals(1_110, periods.nextBoundaryMicros(1_105));
        assertTrue(periods.advanceTo(1_110));
        assertEquals(11, periods.firstUnclosed());
        assertFalse(periods.advanceTo(1_020), "set back over the end of the period");
        assertEquals(11, periods.open());
        assertEquals(11, periods.firstUnclosed());
        assertTrue(periods.advanceTo(1_620));
        assertEquals(16, periods.firstUnclosed(), "all passed periods are closed");
        PeriodClock after = new PeriodClock(100, 10, 16, 1_300);
        assertEquals(16, after.open(), "a restart with the clock set back");
    }
}
