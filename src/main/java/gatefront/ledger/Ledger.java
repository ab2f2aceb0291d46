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
 * among {@link #waiting()}. A correction corrects an entry of use, or another correction, and counts with the tenant
 * and class of the entry of use at the end of that chain.
 */
public final class Ledger {
    /** Nothing. */
    public static final Ledger EMPTY =
            new Ledger(TreePMap.empty(), TreePMap.empty(), HashTreePMap.empty(), TreePMap.empty());

    /** Two entries with one id: an instance was started twice, or a store has lied. */
    public static final class Conflict extends Exception {
        private static final long serialVersionUID = 1;

        Conflict(LedgerEntry one, LedgerEntry other) {
            super("entry " + one.id() + " is there as " + line(one) + " and as " + line(other));
        }

        private static String line(LedgerEntry entry) {
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
    public enum Part {
        /** It has said how many entries it made, and all are here. */
        WHOLE,
        /** It has said so, and some are not here. */
        INCOMPLETE,
        /** It has not said so: it still counts, or died in mid-period. Its part is not known, and not nothing. */
        UNKNOWN
    }

    private final TreePMap<EntryId, LedgerEntry> entries;
    private final TreePMap<Cell, UsageAmounts> cells;
    /** By entry that is not here, the corrections that wait for it. */
    private final PMap<EntryId, TreePMap<EntryId, LedgerEntry>> waiting;
    /** By period, instance and epoch, what is here and what should be. */
    private final TreePMap<Long, TreePMap<String, Count>> parts;

    /** Entries of use and corrections of one epoch in a period; as many as were made, or -1 while not told. */
    private record Count(long here, long made) {}

    private Ledger(
            TreePMap<EntryId, LedgerEntry> entries,
            TreePMap<Cell, UsageAmounts> cells,
            PMap<EntryId, TreePMap<EntryId, LedgerEntry>> waiting,
            TreePMap<Long, TreePMap<String, Count>> parts) {
        this.entries = entries;
        this.cells = cells;
        this.waiting = waiting;
        this.parts = parts;
    }

    /**
     * With one entry more; this one, if it is here already.
     *
     * @throws Conflict if another entry with its id is here
     * @throws ArithmeticException if sums with it are more than a number holds; this ledger is as it was
     */
    public Ledger with(LedgerEntry entry) throws Conflict {
        LedgerEntry here = entries.get(entry.id());
        if (here != null) {
            if (!here.equals(entry)) {
                throw new Conflict(here, entry);
            }
            return this;
        }
        Ledger with = new Ledger(entries.plus(entry.id(), entry), cells, waiting, counted(entry));
        return entry.kind() == LedgerEntry.Kind.CLOSED ? with : with.settled(entry);
    }

    private TreePMap<Long, TreePMap<String, Count>> counted(LedgerEntry entry) {
        TreePMap<String, Count> period = parts.getOrDefault(entry.period(), TreePMap.empty());
        String whose = entry.id().instance() + "/" + entry.id().epoch();
        Count before = period.getOrDefault(whose, new Count(0, -1));
        Count now = entry.kind() == LedgerEntry.Kind.CLOSED
                ? new Count(before.here, entry.amounts().requests())
                : new Count(before.here + 1, before.made);
        return parts.plus(entry.period(), period.plus(whose, now));
    }

    /** Counts an entry that is here, and the corrections that have waited for it. */
    private Ledger settled(LedgerEntry entry) {
        LedgerEntry use = origin(entry);
        if (use == null) {
            EntryId lacks = lacking(entry);
            return new Ledger(
                    entries,
                    cells,
                    waiting.plus(
                            lacks,
                            waiting.getOrDefault(lacks, TreePMap.<EntryId, LedgerEntry>empty())
                                    .plus(entry.id(), entry)),
                    parts);
        }
        Cell cell = new Cell(entry.period(), use.tenant(), use.type());
        Ledger now = new Ledger(
                entries,
                cells.plus(cell, cells.getOrDefault(cell, UsageAmounts.NONE).plus(entry.amounts())),
                waiting.minus(entry.id()),
                parts);
        for (LedgerEntry each : waiting.getOrDefault(entry.id(), TreePMap.<EntryId, LedgerEntry>empty())
                .values()) {
            now = now.settled(each);
        }
        return now;
    }

    /** The entry of use at the end of a chain of corrections; null if a part of it is not here, or it has no end. */
    private LedgerEntry origin(LedgerEntry entry) {
        LedgerEntry at = entry;
        for (int i = 0; at != null && at.corrects() != null; i++) {
            at = i > entries.size() ? null : entries.get(at.corrects());
        }
        return at == null || at.kind() != LedgerEntry.Kind.USE ? null : at;
    }

    private EntryId lacking(LedgerEntry entry) {
        LedgerEntry at = entry;
        for (int i = 0; i <= entries.size(); i++) {
            LedgerEntry next = entries.get(at.corrects());
            if (next == null || next.corrects() == null) {
                break;
            }
            at = next;
        }
        return at.corrects();
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
        UsageAmounts total = UsageAmounts.NONE;
        for (Map.Entry<Cell, UsageAmounts> each : totals(period).entrySet()) {
            total = each.getKey().tenant().equals(tenant) ? total.plus(each.getValue()) : total;
        }
        return total;
    }

    /** Corrections of entries that are not here; they count for nothing yet. */
    public List<LedgerEntry> waiting() {
        List<LedgerEntry> all = new ArrayList<>();
        waiting.values().forEach(each -> all.addAll(each.values()));
        all.sort((a, b) -> a.id().compareTo(b.id()));
        return all;
    }

    /** The periods of which something is here. */
    public Iterable<Long> periods() {
        return parts.keySet();
    }

    /**
     * How the part of each instance stands in a period; of one that is expected and has told nothing it is not known.
     * An instance that died in mid-period and came back has an epoch that never ended: its part stays unknown.
     */
    public Map<String, Part> standing(long period, Iterable<String> expected) {
        Map<String, Part> standing = new TreeMap<>();
        expected.forEach(each -> standing.put(each, Part.UNKNOWN));
        parts.getOrDefault(period, TreePMap.empty()).forEach((whose, count) -> {
            Part part = count.made < 0 ? Part.UNKNOWN : count.here == count.made ? Part.WHOLE : Part.INCOMPLETE;
            standing.put(whose, part);
            standing.remove(whose.substring(0, whose.indexOf('/')));
        });
        return standing;
    }
}
