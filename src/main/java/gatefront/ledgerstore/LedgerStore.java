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
 * The ledger of one instance in a {@link Store}. Each opening starts a new epoch, so that no entry id is used twice
 * even if an entry that was reported as lost reappears after a crash. Not safe for use by several threads.
 *
 * <p>State: the ledger, bounded by the store's size limit, and the ids of the instance's own entries in the order of
 * their creation.
 */
public final class LedgerStore implements Closeable {
    private static final byte ENTRY_RECORD = 'E';
    private static final byte EPOCH_RECORD = 'N';
    private static final byte ACKNOWLEDGED_RECORD = 'T';
    /** The number of log records at which a snapshot replaces them. */
    private static final long COMPACTION_RECORDS = 100_000;

    /** The state rebuilt from the store's records. */
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
                        throw new IOException("stored ledger is inconsistent: " + e.getMessage(), e);
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
                default -> throw new IOException("unknown kind of ledger record: "
                        + (record.length == 0 ? "empty record" : record[0])
                        + "; the store was written by a newer version");
            }
        }
    }

    /** The contents of a ledger store, read without opening it. */
    public record Contents(Ledger ledger, String instance, long epoch, long acknowledged, long ownEntries) {}

    private final Store store;
    private final State state;
    private final long epoch;
    private long sequence;
    private long loggedRecords;
    /** Whether the record of this epoch is stored; it comes before all others of the epoch. */
    private boolean epochStored;

    /** The number of entries that this epoch has made in each period not yet closed. */
    private final Map<Long, Long> unclosedCounts = new TreeMap<>();

    private LedgerStore(Store store, State state) {
        this.store = store;
        this.state = state;
        this.epoch = state.epoch + 1;
    }

    /**
     * Opens or creates the ledger store of an instance. One that has reached its size limit can be opened; nothing can
     * be added to it until the limit is raised.
     *
     * @throws IOException with a message of one line, if the store belongs to another instance, is in use or damaged,
     *     or a disk operation fails
     */
    public static LedgerStore open(Disk disk, Store.Options options, String instance) throws IOException {
        if (!instance.matches(EntryId.INSTANCE_PATTERN)) {
            throw new IOException("instance name must match " + EntryId.INSTANCE_PATTERN + ", got " + instance);
        }
        State state = new State();
        Store store = Store.open(disk, options, state);
        try {
            if (state.instance != null && !state.instance.equals(instance)) {
                throw new IOException("ledger store belongs to instance " + state.instance + ", not to " + instance);
            }
            LedgerStore ledgerStore = new LedgerStore(store, state);
            state.instance = instance;
            ledgerStore.storeEpochIfItFits();
            return ledgerStore;
        } catch (IOException e) {
            store.close();
            throw e;
        }
    }

    /** Returns a consumer for reading a store without opening it; the listener gets the contents after each record. */
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

    /** Returns the current ledger. */
    public Ledger ledger() {
        return state.ledger;
    }

    /** Returns whether the store was empty when opened: a first start of the instance, or its data is lost. */
    public boolean isNew() {
        return epoch == 0;
    }

    /** Returns the number of entries that this instance has made in all its epochs. */
    public long ownCount() {
        return state.ownIds.size();
    }

    /** Returns the number of own entries acknowledged by the receiver, as last stored. */
    public long acknowledged() {
        return state.acknowledged;
    }

    /** Returns own entries in the order of their creation, from a number on. */
    public List<LedgerEntry> ownEntries(long from, int count) {
        return state.ownIds.subList((int) from, (int) from + count).stream()
                .map(state.ledger::get)
                .toList();
    }

    /** Stores the usage of a period, all or nothing; cells without usage are skipped. */
    public void recordUsage(long period, Map<Ledger.Cell, UsageAmounts> cells) throws StoreFailedException {
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

    /** Stores a correction of an entry by a difference, in the open period. */
    public LedgerEntry correct(EntryId correctedId, long period, UsageAmounts difference, String why)
            throws IOException {
        LedgerEntry original = state.ledger.get(correctedId);
        if (original == null || original.kind() == LedgerEntry.Kind.CLOSED) {
            throw new IOException(
                    original == null
                            ? "there is no entry " + correctedId
                            : correctedId + " closes a period and has no use to correct");
        }
        LedgerEntry correction;
        try {
            correction = new LedgerEntry(
                    nextId(0), LedgerEntry.Kind.CORRECTION, period, "", "", difference, correctedId, why);
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
        add(List.of(correction));
        return correction;
    }

    /** Stores that this epoch makes no more entries in a period. */
    public void closePeriod(long period) throws StoreFailedException {
        add(List.of(LedgerEntry.closed(nextId(0), period, unclosedCounts.getOrDefault(period, 0L))));
        unclosedCounts.remove(period);
    }

    /** Returns the periods in which this epoch has made entries and that it has not closed. */
    public List<Long> unclosedPeriods() {
        return List.copyOf(unclosedCounts.keySet());
    }

    private EntryId nextId(int offset) {
        return new EntryId(state.instance, epoch, sequence + offset);
    }

    /** Guards against a start that fails because the store is full: usage is counted in memory then. */
    private void storeEpochIfItFits() throws StoreFailedException {
        try {
            storeEpoch();
        } catch (StoreFailedException e) {
            if (e.reason() != StoreFailedException.Reason.SIZE_LIMIT) {
                throw e;
            }
        }
    }

    private void storeEpoch() throws StoreFailedException {
        if (!epochStored) {
            store.append(List.of(epochRecord()), true);
            epochStored = true;
        }
    }

    private void append(List<byte[]> records) throws StoreFailedException {
        storeEpoch();
        store.append(records, true);
    }

    private void add(List<LedgerEntry> entries) throws StoreFailedException {
        if (entries.isEmpty()) {
            return;
        }
        // Numbers are consumed even if the write fails, because an entry reported as lost may reappear after a crash.
        sequence += entries.size();
        Ledger updated = state.ledger;
        try {
            for (LedgerEntry entry : entries) {
                updated = updated.with(entry);
            }
        } catch (Ledger.Conflict e) {
            throw new IllegalStateException(e); // the ids are new, so there is no conflict
        }
        append(entries.stream().map(LedgerStore::entryRecord).toList());
        state.ledger = updated;
        for (LedgerEntry entry : entries) {
            state.ownIds.add(entry.id());
            if (entry.kind() != LedgerEntry.Kind.CLOSED) {
                unclosedCounts.merge(entry.period(), 1L, Long::sum);
            }
        }
        loggedRecords += entries.size();
    }

    /** Stores entries of other instances, found by reconciliation; entries that are already present are skipped. */
    public void importEntries(List<LedgerEntry> entries) throws IOException {
        Ledger updated = state.ledger;
        List<byte[]> records = new ArrayList<>();
        for (LedgerEntry entry : entries) {
            if (entry.id().instance().equals(state.instance)) {
                throw new IOException("entry " + entry.id() + " cannot be imported: it belongs to this instance");
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
            append(records);
            state.ledger = updated;
            loggedRecords += records.size();
        }
    }

    /** Stores the number of acknowledged entries. If this is lost, entries are sent again, which has no effect. */
    public void storeAcknowledged(long acknowledged) throws StoreFailedException {
        append(List.of(ByteBuffer.allocate(9)
                .put(ACKNOWLEDGED_RECORD)
                .putLong(acknowledged)
                .array()));
        state.acknowledged = acknowledged;
        loggedRecords++;
    }

    /** Replaces the log by a snapshot if the log has become long. */
    public void compactIfLarge() throws StoreFailedException {
        if (loggedRecords >= COMPACTION_RECORDS) {
            compactNow();
        }
    }

    /** Replaces the log by a snapshot. */
    void compactNow() throws StoreFailedException {
        Store.Snapshot snapshot = store.snapshot();
        snapshot.add(epochRecord());
        snapshot.add(ByteBuffer.allocate(9)
                .put(ACKNOWLEDGED_RECORD)
                .putLong(state.acknowledged)
                .array());
        // Own entries come first and in the order of their creation, because ownIds is rebuilt from that order.
        for (EntryId id : state.ownIds) {
            snapshot.add(entryRecord(state.ledger.get(id)));
        }
        for (LedgerEntry entry : state.ledger.entries()) {
            if (!entry.id().instance().equals(state.instance)) {
                snapshot.add(entryRecord(entry));
            }
        }
        snapshot.finish();
        epochStored = true;
        loggedRecords = 0;
    }

    @Override
    public void close() throws IOException {
        store.close();
    }
}
