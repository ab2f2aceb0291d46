package gatefront.ledgerstore;

import gatefront.ledger.EntryId;
import gatefront.ledger.Ledger;
import gatefront.ledger.LedgerEntry;
import gatefront.ledger.UsageAmounts;
import gatefront.storage.Disk;
import gatefront.storage.RecordConsumer;
import gatefront.storage.Store;
import gatefront.storage.StoreFailedException;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The ledger of one instance in a store. Each opening is another epoch, so that no number is given twice even where
 * something told to be lost has come back. One thread.
 *
 * <p>State: the ledger, bounded by the store's bytes; the ids of its own entries in the order in which they were made,
 * as many as those.
 */
public final class LedgerStore implements Closeable {
    private static final byte ENTRY_RECORD = 'E';
    private static final byte EPOCH_RECORD = 'N';
    private static final byte ACKNOWLEDGED_RECORD = 'T';
    /** Records in the log from which a snapshot takes their place. */
    private static final long COMPACTION_RECORDS = 100_000;

    /** What was replayed. */
    private static final class State implements RecordConsumer {
        private Ledger ledger = Ledger.EMPTY;
        private final List<EntryId> ownIds = new ArrayList<>();
        private String instance;
        private long epoch = -1;
        private long acknowledged;

        @Override
        public void snapshot(byte[] record) throws IOException {
            apply(record);
        }

        @Override
        public void record(long number, byte[] record) throws IOException {
            apply(record);
        }

        private void apply(byte[] record) throws IOException {
            switch (record.length == 0 ? 0 : record[0]) {
                case ENTRY_RECORD -> {
                    LedgerEntry entry = LedgerEntryCodec.read(record, 1);
                    Ledger updated;
                    try {
                        updated = ledger.with(entry);
                    } catch (Ledger.Conflict | ArithmeticException e) {
                        throw new IOException("the ledger does not hold together: " + e.getMessage(), e);
                    }
                    if (updated != ledger && entry.id().instance().equals(instance)) {
                        ownIds.add(entry.id());
                    }
                    ledger = updated;
                }
                case EPOCH_RECORD -> {
                    epoch = ByteBuffer.wrap(record).getLong(1);
                    instance = new String(record, 9, record.length - 9, StandardCharsets.US_ASCII);
                }
                case ACKNOWLEDGED_RECORD -> acknowledged =
                        ByteBuffer.wrap(record).getLong(1);
                default -> throw new IOException("a record is of no kind that is known here; a newer program wrote it");
            }
        }
    }

    /** What a folder of books holds, for one who only looks. */
    public record Contents(Ledger ledger, String instance, long epoch, long acknowledged, long ownEntries) {}

    private final Store store;
    private final State state;
    private final long epoch;
    private long sequence;
    private long loggedRecords;
    /** By period, how many entries this epoch has made; an entry goes when the period is closed. */
    private final Map<Long, Long> unclosedCounts = new TreeMap<>();

    private LedgerStore(Store store, State state) {
        this.store = store;
        this.state = state;
        this.epoch = state.epoch + 1;
    }

    /**
     * Opens an instance's books, or begins them.
     *
     * @throws IOException with one line, if they are another instance's, in use, damaged, or the disk would not do
     */
    public static LedgerStore open(Disk disk, Store.Options options, String instance) throws IOException {
        if (!instance.matches(EntryId.INSTANCE_PATTERN)) {
            throw new IOException("an instance's name is to match " + EntryId.INSTANCE_PATTERN + ", not " + instance);
        }
        State state = new State();
        Store store = Store.open(disk, options, state);
        try {
            if (state.instance != null && !state.instance.equals(instance)) {
                throw new IOException("these are the books of " + state.instance + ", not of " + instance);
            }
            LedgerStore ledgerStore = new LedgerStore(store, state);
            state.instance = instance;
            store.append(List.of(ledgerStore.epochRecord()), true);
            return ledgerStore;
        } catch (IOException e) {
            store.close();
            throw e;
        }
    }

    /** What replaying a store tells, without opening it. */
    public static RecordConsumer contentsReader(java.util.function.Consumer<Contents> listener) {
        State state = new State();
        return new RecordConsumer() {
            @Override
            public void snapshot(byte[] record) throws IOException {
                record(0, record);
            }

            @Override
            public void record(long number, byte[] record) throws IOException {
                state.apply(record);
                listener.accept(new Contents(
                        state.ledger, state.instance, state.epoch, state.acknowledged, state.ownIds.size()));
            }
        };
    }

    private byte[] epochRecord() {
        byte[] name = state.instance.getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(9 + name.length)
                .put(EPOCH_RECORD)
                .putLong(epoch)
                .put(name)
                .array();
    }

    private static byte[] entryRecord(LedgerEntry entry) {
        byte[] message = LedgerEntryCodec.write(entry);
        return ByteBuffer.allocate(1 + message.length)
                .put(ENTRY_RECORD)
                .put(message)
                .array();
    }

    /** The ledger as it is. */
    public Ledger ledger() {
        return state.ledger;
    }

    /** Whether there were none before: this is the instance's first start, or they are lost. */
    public boolean isNew() {
        return epoch == 0;
    }

    /** How many entries of its own it has made, in all its lives. */
    public long ownCount() {
        return state.ownIds.size();
    }

    /** How many of them the receiver has taken, as was last written. */
    public long acknowledged() {
        return state.acknowledged;
    }

    /** Its own entries from a number on. */
    public List<LedgerEntry> ownEntries(long from, int count) {
        return state.ownIds.subList((int) from, (int) from + count).stream()
                .map(state.ledger::get)
                .toList();
    }

    /** Writes what was used in a period, all or nothing; cells without use make no entry. */
    public void recordUse(long period, Map<Ledger.Cell, UsageAmounts> cells) throws StoreFailedException {
        List<LedgerEntry> entries = new ArrayList<>();
        for (Map.Entry<Ledger.Cell, UsageAmounts> cell : cells.entrySet()) {
            if (!cell.getValue().isZero()) {
                entries.add(LedgerEntry.use(
                        nextId(entries.size()),
                        period,
                        cell.getKey().tenant(),
                        cell.getKey().type(),
                        cell.getValue()));
            }
        }
        add(entries);
    }

    /** Writes that an entry was wrong by so much, in the period that is open. */
    public LedgerEntry correct(EntryId wrong, long period, UsageAmounts difference, String why) throws IOException {
        LedgerEntry original = state.ledger.get(wrong);
        if (original == null || original.kind() == LedgerEntry.Kind.CLOSED) {
            throw new IOException(
                    original == null
                            ? "there is no entry " + wrong
                            : wrong + " closes a period; it has no use " + "that could be corrected");
        }
        LedgerEntry correction;
        try {
            correction =
                    new LedgerEntry(nextId(0), LedgerEntry.Kind.CORRECTION, period, "", "", difference, wrong, why);
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
        add(List.of(correction));
        return correction;
    }

    /** Writes that this epoch makes no more entries of a period. */
    public void closePeriod(long period) throws StoreFailedException {
        add(List.of(LedgerEntry.closed(nextId(0), period, unclosedCounts.getOrDefault(period, 0L))));
        unclosedCounts.remove(period);
    }

    /** The periods of which this epoch has made entries and that it has not closed. */
    public List<Long> unclosedPeriods() {
        return List.copyOf(unclosedCounts.keySet());
    }

    private EntryId nextId(int offset) {
        return new EntryId(state.instance, epoch, sequence + offset);
    }

    private void add(List<LedgerEntry> entries) throws StoreFailedException {
        if (entries.isEmpty()) {
            return;
        }
        // A number is never given twice, also where its entry was told to be lost and came back after a crash.
        sequence += entries.size();
        Ledger updated = state.ledger;
        try {
            for (LedgerEntry entry : entries) {
                updated = updated.with(entry);
            }
        } catch (Ledger.Conflict e) {
            throw new IllegalStateException(e); // its numbers are new
        }
        store.append(entries.stream().map(LedgerStore::entryRecord).toList(), true);
        state.ledger = updated;
        for (LedgerEntry entry : entries) {
            state.ownIds.add(entry.id());
            if (entry.kind() != LedgerEntry.Kind.CLOSED) {
                unclosedCounts.merge(entry.period(), 1L, Long::sum);
            }
        }
        loggedRecords += entries.size();
    }

    /** Takes in another instance's entries, after a reconciliation; those that are here already change nothing. */
    public void importEntries(List<LedgerEntry> entries) throws IOException {
        Ledger updated = state.ledger;
        List<byte[]> records = new ArrayList<>();
        for (LedgerEntry entry : entries) {
            if (entry.id().instance().equals(state.instance)) {
                throw new IOException("entry " + entry.id() + " is this instance's own, and not from it");
            }
            Ledger before = updated;
            try {
                updated = updated.with(entry);
            } catch (Ledger.Conflict | ArithmeticException e) {
                throw new IOException(e.getMessage(), e);
            }
            if (updated != before) {
                records.add(entryRecord(entry));
            }
        }
        if (!records.isEmpty()) {
            store.append(records, true);
            state.ledger = updated;
            loggedRecords += records.size();
        }
    }

    /** Writes how many the receiver has taken. Where that is lost, some are sent again, which does no harm. */
    public void acknowledged(long acknowledged) throws StoreFailedException {
        store.append(
                List.of(ByteBuffer.allocate(9)
                        .put(ACKNOWLEDGED_RECORD)
                        .putLong(acknowledged)
                        .array()),
                true);
        state.acknowledged = acknowledged;
        loggedRecords++;
    }

    /** A snapshot takes the place of the log, where that has grown long. */
    public void compactIfLarge() throws StoreFailedException {
        if (loggedRecords >= COMPACTION_RECORDS) {
            compactNow();
        }
    }

    /** A snapshot takes the place of the log. */
    void compactNow() throws StoreFailedException {
        Store.Snapshot snapshot = store.snapshot();
        snapshot.add(epochRecord());
        snapshot.add(ByteBuffer.allocate(9)
                .put(ACKNOWLEDGED_RECORD)
                .putLong(state.acknowledged)
                .array());
        for (EntryId each : state.ownIds) { // first, and in their order, which is that of their numbers
            snapshot.add(entryRecord(state.ledger.get(each)));
        }
        for (LedgerEntry each : state.ledger.entries()) {
            if (!each.id().instance().equals(state.instance)) {
                snapshot.add(entryRecord(each));
            }
        }
        snapshot.finish();
        loggedRecords = 0;
    }

    @Override
    public void close() throws IOException {
        store.close();
    }
}
