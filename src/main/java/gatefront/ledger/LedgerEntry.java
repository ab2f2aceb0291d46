package gatefront.ledger;

/**
 * An entry of the ledger. Entries are never changed; errors are fixed by adding corrections.
 *
 * @param id its unique id
 * @param kind its kind
 * @param period the period that it counts in; for a correction, the open period in which it was made
 * @param tenant the municipio; empty for corrections and closing entries
 * @param type the class of requests; empty for corrections and closing entries
 * @param amounts the amounts; for {@link Kind#CLOSED}, {@code requests} is the number of entries made in that period
 * @param corrects for a correction, the id of the corrected entry; otherwise null
 * @param why for a correction, its reason; otherwise empty
 */
public record LedgerEntry(
        EntryId id,
        Kind kind,
        long period,
        String tenant,
        String type,
        UsageAmounts amounts,
        EntryId corrects,
        String why) {
    /** The kinds of entries. Their names are part of digests and their ordinals are stored, so both must stay. */
    public enum Kind {
        /** Records usage. */
        USE,
        /** Changes the amounts of another entry by a difference. */
        CORRECTION,
        /** States that the instance makes no more entries for the period in this epoch. */
        CLOSED
    }

    /** The largest length of tenant, class and reason, in characters. */
    public static final int MAX_TEXT_LENGTH = 200;

    /** Checks the parts, which may come from outside the process. */
    public LedgerEntry {
        String problem = period < 0
                ? "the period must not be negative, but is " + period
                : Math.max(tenant.length(), Math.max(type.length(), why.length())) > MAX_TEXT_LENGTH
                        ? "tenant, class or reason is longer than " + MAX_TEXT_LENGTH + " characters"
                        : (kind == Kind.CORRECTION) != (corrects != null)
                                ? "corrections, and only corrections, must name a corrected entry"
                                : kind == Kind.CORRECTION && why.isBlank()
                                        ? "a correction needs a reason"
                                        : kind == Kind.CLOSED && (amounts.requests() < 0 || !tenant.isEmpty())
                                                ? "a closing entry needs a count of at least 0 and no tenant"
                                                : null;
        if (problem != null) {
            throw new IllegalArgumentException("entry " + id + ": " + problem);
        }
    }

    /** Creates a usage entry. */
    public static LedgerEntry use(EntryId id, long period, String tenant, String type, UsageAmounts amounts) {
        return new LedgerEntry(id, Kind.USE, period, tenant, type, amounts, null, "");
    }

    /** Creates an entry that closes a period in which this number of entries were made. */
    public static LedgerEntry closed(EntryId id, long period, long entries) {
        return new LedgerEntry(id, Kind.CLOSED, period, "", "", new UsageAmounts(entries, 0, 0, 0), null, "");
    }
}
