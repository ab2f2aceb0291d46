package gatefront.persistence;

import gatefront.membership.ServerBans;
import gatefront.recovery.Recovery;
import gatefront.storage.CorruptStoreException;
import gatefront.storage.DirectoryDisk;
import gatefront.storage.SigningKeys;
import gatefront.storage.Store;
import gatefront.storage.StoreFailedException;
import gatefront.storage.StoreInUseException;
import gatefront.storage.StoreVerification;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Persists the state that an instance restores at its next start. The agent's event loop enqueues records; a writer
 * thread owned by this store appends all records that have accumulated as one frame, syncs it to disk, and reports the
 * result back on the event loop. At most one write is in progress at a time.
 *
 * <p>A store that cannot be used (damaged, or of another instance) is moved to a sibling folder for operators to
 * examine, and a new store is created. Up to {@link #MAX_SET_ASIDE} such folders are kept.
 *
 * <p>State: on the event loop, one pending record for each key (a server's name, the server list, the alive mark),
 * which bounds it by {@link ServerBans#MAX_ENTRIES} plus two; on the writer thread, the last written record of each
 * key, for snapshots.
 */
public final class RecoveryStore {
    /** Stores set aside at the most; a further one takes the place of the last. */
    static final int MAX_SET_ASIDE = 3;
    /** Records in the log from which a snapshot takes their place. */
    private static final int COMPACT_AFTER_RECORDS = 5_000;

    private static final Store.Options OPTIONS = new Store.Options(SigningKeys.NONE, 1 << 20, 64 << 20);

    /** What opening a store has come to. */
    public record Opened(RecoveryStore store, StoredState restored, Recovery.StoreStatus status, String detail) {}

    /** What a store holds, and the first damage in it or null. */
    public record Inspection(StoredState contents, String damage) {}

    /** What waits to be written about one thing, and who is told. */
    private record PendingWrite(byte[] record, List<Consumer<IOException>> callbacks) {}

    private final Path folder;
    private final String instance;
    private final Executor loop;
    /** The time of day in microseconds. */
    private final LongSupplier clock;

    private final ExecutorService writer = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "keeper");
        thread.setDaemon(true);
        return thread;
    });
    // Of the loop:
    private Map<String, PendingWrite> pendingWrites = new LinkedHashMap<>();
    private boolean writeInProgress;
    private boolean closed;
    // Of the writer:
    private Store store;
    private long recordsInLog;
    private long startNumber;
    private final Map<String, byte[]> lastWritten = new LinkedHashMap<>();

    private RecoveryStore(Path folder, String instance, Executor loop, LongSupplier clock) {
        this.folder = folder;
        this.instance = instance;
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * Opens an instance's store, or begins one, and tells what it was found to be. Blocks; before the loop serves.
     *
     * @param loop where those who hand something over are told
     * @param clock the time of day in microseconds
     */
    public static Opened open(Path folder, String instance, Executor loop, LongSupplier clock) {
        RecoveryStore keeper = new RecoveryStore(folder, instance, loop, clock);
        RecoveryRecordCodec read = new RecoveryRecordCodec();
        try {
            boolean there = Files.isDirectory(folder);
            keeper.store = Store.open(new DirectoryDisk(folder), OPTIONS, read);
            StoredState kept = read.contents();
            if (kept.instance() != null && !kept.instance().equals(instance)) {
                keeper.store.close();
                String aside = keeper.setAsideAndRecreate();
                return new Opened(
                        keeper,
                        kept,
                        Recovery.StoreStatus.FOREIGN,
                        "that of " + kept.instance() + "; it was set aside as " + aside);
            }
            keeper.recordStart(kept);
            return kept.instance() == null
                    ? new Opened(
                            keeper,
                            StoredState.EMPTY,
                            Recovery.StoreStatus.MISSING,
                            there ? "the folder is empty" : "there is no folder")
                    : new Opened(keeper, kept, Recovery.StoreStatus.INTACT, "life " + (kept.startNumber() + 1));
        } catch (StoreInUseException e) {
            return new Opened(keeper, StoredState.EMPTY, Recovery.StoreStatus.IN_USE, "");
        } catch (CorruptStoreException e) {
            try {
                String aside = keeper.setAsideAndRecreate();
                return new Opened(
                        keeper,
                        read.contents(),
                        Recovery.StoreStatus.DAMAGED,
                        e.getMessage() + "; it was set aside as " + aside);
            } catch (IOException again) {
                return new Opened(
                        keeper,
                        read.contents(),
                        Recovery.StoreStatus.UNUSABLE,
                        e.getMessage() + "; and " + again.getMessage());
            }
        } catch (IOException e) {
            return new Opened(keeper, StoredState.EMPTY, Recovery.StoreStatus.UNUSABLE, String.valueOf(e.getMessage()));
        }
    }

    /** Looks at a store, which may be in use, and changes nothing. */
    public static Inspection inspect(Path folder) throws IOException {
        RecoveryRecordCodec read = new RecoveryRecordCodec();
        StoreVerification verify = StoreVerification.of(DirectoryDisk.existing(folder), OPTIONS.keys(), read);
        return new Inspection(
                read.contents(),
                verify.damage() == null ? null : verify.damage().getMessage());
    }

    /** Sets what is there aside and begins anew. */
    private String setAsideAndRecreate() throws IOException {
        Path aside = null;
        for (int i = 1; i <= MAX_SET_ASIDE && (aside == null || Files.exists(aside)); i++) {
            aside = folder.resolveSibling(folder.getFileName() + ".aside-" + i);
        }
        if (Files.exists(aside)) {
            try (var files = Files.list(aside)) {
                for (Path each : files.toList()) {
                    Files.delete(each);
                }
            }
            Files.delete(aside);
        }
        Files.move(folder, aside);
        store = Store.open(new DirectoryDisk(folder), OPTIONS, new RecoveryRecordCodec());
        recordStart(StoredState.EMPTY);
        return aside.toString();
    }

    private void recordStart(StoredState kept) throws StoreFailedException {
        startNumber = kept.startNumber() + 1;
        kept.bans().forEach((name, entry) -> lastWritten.put("ban " + name, RecoveryRecordCodec.ban(name, entry)));
        if (kept.serverList() != null) {
            lastWritten.put("list", RecoveryRecordCodec.serverList(kept.serverListMicros(), kept.serverList()));
        }
        byte[] record = RecoveryRecordCodec.start(instance, startNumber, clock.getAsLong());
        lastWritten.put("life", record);
        store.append(List.of(record), true);
    }

    /** A call by hand has changed something; told once it is on the disk, or cannot be. */
    public void saveBan(String name, ServerBans.Entry entry, Consumer<IOException> told) {
        enqueue(
                "ban " + name,
                entry == null ? RecoveryRecordCodec.banRemoval(name) : RecoveryRecordCodec.ban(name, entry),
                told);
    }

    /** The whole list as it is now. */
    public void saveServerList(long at, byte[] list) {
        enqueue("list", RecoveryRecordCodec.serverList(at, list), null);
    }

    /** This instance is there. */
    public void saveAliveMark() {
        enqueue("mark", RecoveryRecordCodec.aliveMark(clock.getAsLong()), null);
    }

    private void enqueue(String about, byte[] record, Consumer<IOException> told) {
        List<Consumer<IOException>> all = new ArrayList<>();
        PendingWrite before = pendingWrites.remove(about);
        if (before != null) {
            all.addAll(before.callbacks);
        }
        if (told != null) {
            all.add(told);
        }
        pendingWrites.put(about, new PendingWrite(record, all));
        startWrite();
    }

    private void startWrite() {
        if (writeInProgress || closed || pendingWrites.isEmpty()) {
            return;
        }
        Map<String, PendingWrite> handed = pendingWrites;
        pendingWrites = new LinkedHashMap<>();
        writeInProgress = true;
        writer.execute(() -> {
            IOException fault = write(handed);
            try {
                loop.execute(() -> {
                    writeInProgress = false;
                    handed.values().forEach(each -> each.callbacks.forEach(told -> told.accept(fault)));
                    startWrite();
                });
            } catch (RejectedExecutionException e) {
                writeInProgress = false; // the agent has ended; nobody waits any more
            }
        });
    }

    /** On the writer. */
    private IOException write(Map<String, PendingWrite> handed) {
        try {
            if (store == null) {
                RecoveryRecordCodec read = new RecoveryRecordCodec();
                store = Store.open(new DirectoryDisk(folder), OPTIONS, read); // the process before has ended, perhaps
                recordStart(read.contents());
            }
            store.append(handed.values().stream().map(PendingWrite::record).toList(), true);
            handed.forEach((about, each) -> {
                if (RecoveryRecordCodec.isRemoval(each.record)) {
                    lastWritten.remove(about);
                } else {
                    lastWritten.put(about, each.record);
                }
            });
            recordsInLog += handed.size();
            if (recordsInLog >= COMPACT_AFTER_RECORDS) {
                compact();
            }
            return null;
        } catch (IOException e) {
            return e;
        } catch (RuntimeException e) { // a fault of ours; the caller is told, and the agent serves on
            return new IOException(e.toString(), e);
        }
    }

    private void compact() throws StoreFailedException {
        Store.Snapshot snapshot = store.snapshot();
        for (byte[] each : lastWritten.values()) {
            snapshot.add(each);
        }
        snapshot.finish();
        recordsInLog = 0;
    }

    /** Writes what waits, and ends; {@code then} runs on the writer. */
    public void close(Runnable then) {
        saveAliveMark();
        closed = true;
        Map<String, PendingWrite> last = pendingWrites;
        writer.execute(() -> {
            if (!last.isEmpty() && store != null) {
                write(last);
            }
            try {
                if (store != null) {
                    store.close();
                }
            } catch (IOException e) {
                // what was to be kept has been told to be kept, or not
            } finally {
                then.run();
            }
        });
        writer.shutdown();
    }

    /** Ends for an agent that never came up, and waits for it. */
    public void abandon() {
        writer.execute(() -> {
            try {
                if (store != null) {
                    store.close();
                }
            } catch (IOException e) {
                // it has told nobody that it keeps anything
            }
        });
        writer.shutdown();
        try {
            writer.awaitTermination(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
