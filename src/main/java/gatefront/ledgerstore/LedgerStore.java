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
    private static final byte ENTRY = 'E';
    private static final byte EPOCH = 'N';
    private static final byte TAKEN = 'T';
    /** Records in the log from which a snapshot takes their place. */
    private static final long LOG_MOST = 100_000;

    /** What was replayed. */
    private static final class Held implements RecordConsumer {
        private Ledger ledger = Ledger.EMPTY;
        private final List<EntryId> own = new ArrayList<>();
        private String instance;
        private long epoch = -1;
        private long taken;

        @Override
        public void snapshot(byte[] record) throws IOException {
            take(record);
        }

        @Override
        public void record(long number, byte[] record) throws IOException {
            take(record);
        }

        private void take(byte[] record) throws IOException {
            switch (record.length == 0 ? 0 : record[0]) {
                case ENTRY -> {
                    LedgerEntry entry = LedgerEntryCodec.read(record, 1);
                    Ledger with;
                    try {
                        with = ledger.with(entry);
                    } catch (Ledger.Conflict | ArithmeticException e) {
                        throw new IOException("the ledger does not hold together: " + e.getMessage(), e);
                    }
                    if (with != ledger && entry.id().instance().equals(instance)) {
                        own.add(entry.id());
                    }
                    ledger = with;
                }
                case EPOCH -> {
                    epoch = ByteBuffer.wrap(record).getLong(1);
                    instance = new String(record, 9, record.length - 9, StandardCharsets.US_ASCII);
                }
                case TAKEN -> taken = ByteBuffer.wrap(record).getLong(1);
                default -> throw new IOException("a record is of no kind that is known here; a newer program wrote it");
            }
        }
    }

    /** What a folder of books holds, for one who only looks. */
    public record Look(Ledger ledger, String instance, long epoch, long taken, long made) {}

    private final Store store;
    private final Held held;
    private final long epoch;
    private long sequence;
    private long logged;
    /** By period, how many entries this epoch has made; an entry goes when the period is closed. */
    private final Map<Long, Long> made = new TreeMap<>();

    private LedgerStore(Store store, Held held) {
        this.store = store;
        this.held = held;
        this.epoch = held.epoch + 1;
    }

    /**
     * Opens an instance's books, or begins them.
     *
     * @throws IOException with one line, if they are another instance's, in use, damaged, or the disk would not do
     */
    public static LedgerStore open(Disk disk, Store.Options options, String instance) throws IOException {
        if (!instance.matches(EntryId.NAME)) {
            throw new IOException("an instance's name is to match " + EntryId.NAME + ", not " + instance);
        }
        Held held = new Held();
        Store store = Store.open(disk, options, held);
        try {
            if (held.instance != null && !held.instance.equals(instance)) {
                throw new IOException("these are the books of " + held.instance + ", not of " + instance);
            }
            LedgerStore books = new LedgerStore(store, held);
            held.instance = instance;
            store.append(List.of(books.life()), true);
            return books;
        } catch (IOException e) {
            store.close();
            throw e;
        }
    }

    /** What replaying a store tells, without opening it. */
    public static RecordConsumer looking(java.util.function.Consumer<Look> at) {
        Held held = new Held();
        return new RecordConsumer() {
            @Override
            public void snapshot(byte[] record) throws IOException {
                record(0, record);
            }

            @Override
            public void record(long number, byte[] record) throws IOException {
                held.take(record);
                at.accept(new Look(held.ledger, held.instance, held.epoch, held.taken, held.own.size()));
            }
        };
    }

    private byte[] life() {
        byte[] name = held.instance.getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(9 + name.length)
                .put(EPOCH)
                .putLong(epoch)
                .put(name)
                .array();
    }

    private static byte[] record(LedgerEntry entry) {
        byte[] message = LedgerEntryCodec.write(entry);
        return ByteBuffer.allocate(1 + message.length).put(ENTRY).put(message).array();
    }

    /** The ledger as it is. */
    public Ledger ledger() {
        return held.ledger;
    }

    /** Whether there were none before: this is the instance's first start, or they are lost. */
    public boolean begun() {
        return epoch == 0;
    }

    /** How many entries of its own it has made, in all its lives. */
    public long made() {
        return held.own.size();
    }

    /** How many of them the receiver has taken, as was last written. */
    public long taken() {
        return held.taken;
    }

    /** Its own entries from a number on. */
    public List<LedgerEntry> own(long from, int count) {
        return held.own.subList((int) from, (int) from + count).stream()
                .map(held.ledger::get)
                .toList();
    }

    /** Writes what was used in a period, all or nothing; cells without use make no entry. */
    public void use(long period, Map<Ledger.Cell, UsageAmounts> cells) throws StoreFailedException {
        List<LedgerEntry> entries = new ArrayList<>();
        for (Map.Entry<Ledger.Cell, UsageAmounts> each : cells.entrySet()) {
            if (!each.getValue().none()) {
                entries.add(LedgerEntry.use(
                        id(entries.size()),
                        period,
                        each.getKey().tenant(),
                        each.getKey().type(),
                        each.getValue()));
            }
        }
        add(entries);
    }

    /** Writes that an entry was wrong by so much, in the period that is open. */
    public LedgerEntry correct(EntryId wrong, long period, UsageAmounts by, String why) throws IOException {
        LedgerEntry of = held.ledger.get(wrong);
        if (of == null || of.kind() == LedgerEntry.Kind.CLOSED) {
            throw new IOException(
                    of == null
                            ? "there is no entry " + wrong
                            : wrong + " closes a period; it has no use " + "that could be corrected");
        }
        LedgerEntry correction;
        try {
            correction = new LedgerEntry(id(0), LedgerEntry.Kind.CORRECTION, period, "", "", by, wrong, why);
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
        add(List.of(correction));
        return correction;
    }

    /** Writes that this epoch makes no more entries of a period. */
    public void close(long period) throws StoreFailedException {
        add(List.of(LedgerEntry.closed(id(0), period, made.getOrDefault(period, 0L))));
        made.remove(period);
    }

    /** The periods of which this epoch has made entries and that it has not closed. */
    public List<Long> unclosed() {
        return List.copyOf(made.keySet());
    }

    private EntryId id(int ahead) {
        return new EntryId(held.instance, epoch, sequence + ahead);
    }

    private void add(List<LedgerEntry> entries) throws StoreFailedException {
        if (entries.isEmpty()) {
            return;
        }
        // A number is never given twice, also where its entry was told to be lost and came back after a crash.
        sequence += entries.size();
        Ledger with = held.ledger;
        try {
            for (LedgerEntry each : entries) {
                with = with.with(each);
            }
        } catch (Ledger.Conflict e) {
            throw new IllegalStateException(e); // its numbers are new
        }
        store.append(entries.stream().map(LedgerStore::record).toList(), true);
        held.ledger = with;
        for (LedgerEntry each : entries) {
            held.own.add(each.id());
            if (each.kind() != LedgerEntry.Kind.CLOSED) {
                made.merge(each.period(), 1L, Long::sum);
            }
        }
        logged += entries.size();
    }

    /** Takes in another instance's entries, after a reconciliation; those that are here already change nothing. */
    public void takeIn(List<LedgerEntry> entries) throws IOException {
        Ledger with = held.ledger;
        List<byte[]> records = new ArrayList<>();
        for (LedgerEntry each : entries) {
            if (each.id().instance().equals(held.instance)) {
                throw new IOException("entry " + each.id() + " is this instance's own, and not from it");
            }
            Ledger before = with;
            try {
                with = with.with(each);
            } catch (Ledger.Conflict | ArithmeticException e) {
                throw new IOException(e.getMessage(), e);
            }
            if (with != before) {
                records.add(record(each));
            }
        }
        if (!records.isEmpty()) {
            store.append(records, true);
            held.ledger = with;
            logged += records.size();
        }
    }

    /** Writes how many the receiver has taken. Where that is lost, some are sent again, which does no harm. */
    public void taken(long taken) throws StoreFailedException {
        store.append(List.of(ByteBuffer.allocate(9).put(TAKEN).putLong(taken).array()), true);
        held.taken = taken;
        logged++;
    }

    /** A snapshot takes the place of the log, where that has grown long. */
    public void compact() throws StoreFailedException {
        if (logged >= LOG_MOST) {
            compactNow();
        }
    }

    /** A snapshot takes the place of the log. */
    void compactNow() throws StoreFailedException {
        Store.Snapshot snapshot = store.snapshot();
        snapshot.add(life());
        snapshot.add(ByteBuffer.allocate(9).put(TAKEN).putLong(held.taken).array());
        for (EntryId each : held.own) { // first, and in their order, which is that of their numbers
            snapshot.add(record(held.ledger.get(each)));
        }
        for (LedgerEntry each : held.ledger.entries()) {
            if (!each.id().instance().equals(held.instance)) {
                snapshot.add(record(each));
            }
        }
        snapshot.finish();
        logged = 0;
    }

    @Override
    public void close() throws IOException {
        store.close();
    }
}
