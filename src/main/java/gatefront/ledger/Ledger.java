package gatefront.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * An immutable set of usage entries with their totals. Adding an entry returns a new ledger that shares nearly all of
 * its structure with this one, so every ledger is also a snapshot, without copying or pausing.
 *
 * <p>Each entry counts once: adding an equal entry again changes nothing, and a different entry with the same id is a
 * {@link Conflict}. A correction from another instance may arrive before the entry that it corrects; until then it is
 * not counted and is listed by {@link #unresolvedCorrections()}. A correction refers to a usage entry or to another
 * correction, and counts for the tenant and class of the usage entry at the end of that chain.
 */
public final class Ledger {
    /** The ledger without entries. */
    public static final Ledger EMPTY =
            new Ledger(TreePMap.empty(), TreePMap.empty(), HashTreePMap.empty(), TreePMap.empty());

    /** Signals two different entries with one id: an instance was started twice, or stored data is wrong. */
    public static final class Conflict extends Exception {
        private static final long serialVersionUID = 1;

        Conflict(LedgerEntry existing, LedgerEntry added) {
            super("entry " + existing.id() + " exists with different contents: " + describe(existing) + "; and "
                    + describe(added));
        }

        private static String describe(LedgerEntry entry) {
            return entry.kind() + " of period " + entry.period() + " " + entry.tenant() + " " + entry.type() + " "
                    + entry.amounts();
        }
    }

    /** The key of a total: a tenant's usage of a class of requests in a period. */
    public record Cell(long period, String tenant, String type) implements Comparable<Cell> {
        @Override
        public int compareTo(Cell other) {
            int byPeriod = Long.compare(period, other.period);
            int byTenant = byPeriod != 0 ? byPeriod : tenant.compareTo(other.tenant);
            return byTenant != 0 ? byTenant : type.compareTo(other.type);
        }
    }

    /** Whether the entries of an instance's epoch in a period are complete. */
    public enum PartStatus {
        /** The epoch has closed the period, and all its entries are present. */
        COMPLETE,
        /** The epoch has closed the period, and some of its entries are missing. */
        INCOMPLETE,
        /** The epoch has not closed the period: it is still counting or ended early. Its usage is unknown, not 0. */
        UNKNOWN
    }

    private final TreePMap<EntryId, LedgerEntry> entries;
    private final TreePMap<Cell, UsageAmounts> cells;
    /** The corrections that are not counted yet, by the id of the missing entry. */
    private final PMap<EntryId, TreePMap<EntryId, LedgerEntry>> unresolved;
    /** The numbers of entries by period and {@code instance/epoch}. */
    private final TreePMap<Long, TreePMap<String, EntryCount>> entryCounts;

    /** The present and the declared number of an epoch's entries in a period; -1 until it has closed the period. */
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
     * Returns a ledger with one more entry; returns this ledger if it already contains the entry.
     *
     * @throws Conflict if this ledger contains a different entry with its id
     * @throws ArithmeticException if a total overflows; this ledger is unchanged
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

    /** Counts an entry that has been added, and the corrections that were waiting for it. */
    private Ledger withAmounts(LedgerEntry entry) {
        LedgerEntry use = originalUsage(entry);
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

    /** Returns the usage entry at the end of a chain of corrections; null if the chain is incomplete or cyclic. */
    private LedgerEntry originalUsage(LedgerEntry entry) {
        LedgerEntry current = entry;
        for (int i = 0; current != null && current.corrects() != null; i++) {
            current = i > entries.size() ? null : entries.get(current.corrects());
        }
        return current == null || current.kind() != LedgerEntry.Kind.USE ? null : current;
    }

    /** Returns the id of the entry that an unresolved chain of corrections waits for. */
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

    /** Returns the entry with this id, or null. */
    public LedgerEntry get(EntryId id) {
        return entries.get(id);
    }

    /** Returns all entries in the order of their ids. */
    public Iterable<LedgerEntry> entries() {
        return entries.values();
    }

    /** Returns the number of entries. */
    public int size() {
        return entries.size();
    }

    /** Returns the totals of a period by tenant and class, including the corrections made in it. */
    public Map<Cell, UsageAmounts> totals(long period) {
        return cells.subMap(new Cell(period, "", ""), true, new Cell(period + 1, "", ""), false);
    }

    /** Returns a tenant's total of a period over all classes. */
    public UsageAmounts total(long period, String tenant) {
        UsageAmounts total = UsageAmounts.ZERO;
        for (Map.Entry<Cell, UsageAmounts> cell : totals(period).entrySet()) {
            total = cell.getKey().tenant().equals(tenant) ? total.plus(cell.getValue()) : total;
        }
        return total;
    }

    /** Returns the corrections that are not counted because an entry that they refer to is missing. */
    public List<LedgerEntry> unresolvedCorrections() {
        List<LedgerEntry> all = new ArrayList<>();
        unresolved.values().forEach(corrections -> all.addAll(corrections.values()));
        all.sort((a, b) -> a.id().compareTo(b.id()));
        return all;
    }

    /** Returns the periods that have entries. */
    public Iterable<Long> periods() {
        return entryCounts.keySet();
    }

    /**
     * Returns the status of each {@code instance/epoch} in a period. An expected instance without entries is listed by
     * its name as unknown. An instance that died during a period and restarted has an epoch that never closed the
     * period; the status of that epoch stays unknown.
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
