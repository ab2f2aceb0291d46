package gatefront.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * All that is known of what was used: a value. Adding an entry makes another ledger that shares nearly all with this
 * one, so a snapshot is the ledger that one has, at no cost and without a pause.
 *
 * <p>An entry is taken once: the same again changes nothing, and another with the same id is a {@link Conflict}. A
 * correction may come before what it corrects, from another instance; until that comes it counts for nothing and is
 * among {@link #unresolvedCorrections()}. A correction corrects an entry of use, or another correction, and counts with
 * the tenant and class of the entry of use at the end of that chain.
 */
public final class Ledger {
    /** Nothing. */
    public static final Ledger EMPTY =
            new Ledger(TreePMap.empty(), TreePMap.empty(), HashTreePMap.empty(), TreePMap.empty());

    /** Two entries with one id: an instance was started twice, or a store has lied. */
    public static final class Conflict extends Exception {
        private static final long serialVersionUID = 1;

        Conflict(LedgerEntry existing, LedgerEntry added) {
            super("entry " + existing.id() + " is there as " + describe(existing) + " and as " + describe(added));
        }

        private static String describe(LedgerEntry entry) {
            return entry.kind() + " of period " + entry.period() + " " + entry.tenant() + " " + entry.type() + " "
                    + entry.amounts();
        }
    }

    /** Whose use: a tenant's of a class in a period. */
    public record Cell(long period, String tenant, String type) implements Comparable<Cell> {
        @Override
        public int compareTo(Cell other) {
            int byPeriod = Long.compare(period, other.period);
            int byTenant = byPeriod != 0 ? byPeriod : tenant.compareTo(other.tenant);
            return byTenant != 0 ? byTenant : type.compareTo(other.type);
        }
    }

    /** How an instance's part of a period stands. */
    public enum PartStatus {
        /** It has said how many entries it made, and all are here. */
        COMPLETE,
        /** It has said so, and some are not here. */
        INCOMPLETE,
        /** It has not said so: it still counts, or died in mid-period. Its part is not known, and not nothing. */
        UNKNOWN
    }

    private final TreePMap<EntryId, LedgerEntry> entries;
    private final TreePMap<Cell, UsageAmounts> cells;
    /** By entry that is not here, the corrections that wait for it. */
    private final PMap<EntryId, TreePMap<EntryId, LedgerEntry>> unresolved;
    /** By period, instance and epoch, what is here and what should be. */
    private final TreePMap<Long, TreePMap<String, EntryCount>> entryCounts;

    /** Entries of use and corrections of one epoch in a period; as many as were made, or -1 while not told. */
    private record EntryCount(long present, long declared) {}

    private Ledger(
            TreePMap<EntryId, LedgerEntry> entries,
            TreePMap<Cell, UsageAmounts> cells,
            PMap<EntryId, TreePMap<EntryId, LedgerEntry>> unresolved,
            TreePMap<Long, TreePMap<String, EntryCount>> entryCounts) {
        this.entries = entries;
        this.cells = cells;
        this.unresolved = unresolved;
        this.entryCounts = entryCounts;
    }

    /**
     * With one entry more; this one, if it is here already.
     *
     * @throws Conflict if another entry with its id is here
     * @throws ArithmeticException if sums with it are more than a number holds; this ledger is as it was
     */
    public Ledger with(LedgerEntry entry) throws Conflict {
        LedgerEntry existing = entries.get(entry.id());
        if (existing != null) {
            if (!existing.equals(entry)) {
                throw new Conflict(existing, entry);
            }
            return this;
        }
        Ledger added = new Ledger(entries.plus(entry.id(), entry), cells, unresolved, countsWith(entry));
        return entry.kind() == LedgerEntry.Kind.CLOSED ? added : added.withAmounts(entry);
    }

    private TreePMap<Long, TreePMap<String, EntryCount>> countsWith(LedgerEntry entry) {
        TreePMap<String, EntryCount> period = entryCounts.getOrDefault(entry.period(), TreePMap.empty());
        String epochKey = entry.id().instance() + "/" + entry.id().epoch();
        EntryCount before = period.getOrDefault(epochKey, new EntryCount(0, -1));
        EntryCount updated = entry.kind() == LedgerEntry.Kind.CLOSED
                ? new EntryCount(before.present, entry.amounts().requests())
                : new EntryCount(before.present + 1, before.declared);
        return entryCounts.plus(entry.period(), period.plus(epochKey, updated));
    }

    /** Counts an entry that is here, and the corrections that have waited for it. */
    private Ledger withAmounts(LedgerEntry entry) {
        LedgerEntry use = originalUse(entry);
        if (use == null) {
            EntryId missing = missingEntry(entry);
            return new Ledger(
                    entries,
                    cells,
                    unresolved.plus(
                            missing,
                            unresolved
                                    .getOrDefault(missing, TreePMap.<EntryId, LedgerEntry>empty())
                                    .plus(entry.id(), entry)),
                    entryCounts);
        }
        Cell cell = new Cell(entry.period(), use.tenant(), use.type());
        Ledger updated = new Ledger(
                entries,
                cells.plus(cell, cells.getOrDefault(cell, UsageAmounts.ZERO).plus(entry.amounts())),
                unresolved.minus(entry.id()),
                entryCounts);
        for (LedgerEntry correction : unresolved
                .getOrDefault(entry.id(), TreePMap.<EntryId, LedgerEntry>empty())
                .values()) {
            updated = updated.withAmounts(correction);
        }
        return updated;
    }

    /** The entry of use at the end of a chain of corrections; null if a part of it is not here, or it has no end. */
    private LedgerEntry originalUse(LedgerEntry entry) {
        LedgerEntry current = entry;
        for (int i = 0; current != null && current.corrects() != null; i++) {
            current = i > entries.size() ? null : entries.get(current.corrects());
        }
        return current == null || current.kind() != LedgerEntry.Kind.USE ? null : current;
    }

    private EntryId missingEntry(LedgerEntry entry) {
        LedgerEntry current = entry;
        for (int i = 0; i <= entries.size(); i++) {
            LedgerEntry next = entries.get(current.corrects());
            if (next == null || next.corrects() == null) {
                break;
            }
            current = next;
        }
        return current.corrects();
    }

    /** An entry, or null. */
    public LedgerEntry get(EntryId id) {
        return entries.get(id);
    }

    /** All entries, in the order of their ids. */
    public Iterable<LedgerEntry> entries() {
        return entries.values();
    }

    /** How many entries there are. */
    public int size() {
        return entries.size();
    }

    /** What was used in a period, corrections made in it included, by tenant and class. */
    public Map<Cell, UsageAmounts> totals(long period) {
        return cells.subMap(new Cell(period, "", ""), true, new Cell(period + 1, "", ""), false);
    }

    /** What a tenant used in a period, over all classes. */
    public UsageAmounts total(long period, String tenant) {
        UsageAmounts total = UsageAmounts.ZERO;
        for (Map.Entry<Cell, UsageAmounts> each : totals(period).entrySet()) {
            total = each.getKey().tenant().equals(tenant) ? total.plus(each.getValue()) : total;
        }
        return total;
    }

    /** Corrections of entries that are not here; they count for nothing yet. */
    public List<LedgerEntry> unresolvedCorrections() {
        List<LedgerEntry> all = new ArrayList<>();
        unresolved.values().forEach(each -> all.addAll(each.values()));
        all.sort((a, b) -> a.id().compareTo(b.id()));
        return all;
    }

    /** The periods of which something is here. */
    public Iterable<Long> periods() {
        return entryCounts.keySet();
    }

    /**
     * How the part of each instance stands in a period; of one that is expected and has told nothing it is not known.
     * An instance that died in mid-period and came back has an epoch that never ended: its part stays unknown.
     */
    public Map<String, PartStatus> partStatuses(long period, Iterable<String> expected) {
        Map<String, PartStatus> statuses = new TreeMap<>();
        expected.forEach(instance -> statuses.put(instance, PartStatus.UNKNOWN));
        entryCounts.getOrDefault(period, TreePMap.empty()).forEach((epochKey, count) -> {
            PartStatus status = count.declared < 0
                    ? PartStatus.UNKNOWN
                    : count.present == count.declared ? PartStatus.COMPLETE : PartStatus.INCOMPLETE;
            statuses.put(epochKey, status);
            statuses.remove(epochKey.substring(0, epochKey.indexOf('/')));
        });
        return statuses;
    }
}
