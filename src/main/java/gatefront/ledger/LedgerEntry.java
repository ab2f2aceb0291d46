package gatefront.ledger;

/**
 * One line of the ledger. It is never changed; what is wrong in it is put right by another.
 *
 * @param id whose, and which
 * @param kind what it says
 * @param period the period that it counts in; of a correction, the open one in which it was made
 * @param tenant the municipio, or empty where that says nothing
 * @param type the class of requests, or empty
 * @param amounts how much; of {@link Kind#CLOSED}, {@code requests} is how many entries of that period it has made
 * @param corrects of a correction, the entry that was wrong; else null
 * @param why of a correction, a sentence; else empty
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
    /** What an entry says. */
    public enum Kind {
        /** So much was used. */
        USE,
        /** So much more, or less, than another entry says. */
        CORRECTION,
        /** Its instance makes no more entries of this period in this epoch. */
        CLOSED
    }

    /** Characters of a municipio's or a class's name, and of a reason, at the most. */
    public static final int MAX_TEXT_LENGTH = 200;

    /** Checks what came from outside. */
    public LedgerEntry {
        String problem = period < 0
                ? "its period is before time began"
                : Math.max(tenant.length(), Math.max(type.length(), why.length())) > MAX_TEXT_LENGTH
                        ? "a text is too long"
                        : (kind == Kind.CORRECTION) != (corrects != null)
                                ? "a correction names the entry corrected, no other does"
                                : kind == Kind.CORRECTION && why.isBlank()
                                        ? "a correction says why"
                                        : kind == Kind.CLOSED && (amounts.requests() < 0 || !tenant.isEmpty())
                                                ? "a close tells how many entries"
                                                : null;
        if (problem != null) {
            throw new IllegalArgumentException("entry " + id + ": " + problem);
        }
    }

    /** So much was used. */
    public static LedgerEntry use(EntryId id, long period, String tenant, String type, UsageAmounts amounts) {
        return new LedgerEntry(id, Kind.USE, period, tenant, type, amounts, null, "");
    }

    /** Its instance has made so many entries of a period, and makes no more. */
    public static LedgerEntry closed(EntryId id, long period, long entries) {
        return new LedgerEntry(id, Kind.CLOSED, period, "", "", new UsageAmounts(entries, 0, 0, 0), null, "");
    }
}
