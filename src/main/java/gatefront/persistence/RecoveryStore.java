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
    /** The maximum number of stores set aside; a further one replaces the last. */
    static final int MAX_SET_ASIDE = 3;
    /** The number of records written to the log after which a snapshot replaces them. */
    private static final int COMPACT_AFTER_RECORDS = 5_000;

    private static final Store.Options OPTIONS = new Store.Options(SigningKeys.NONE, 1 << 20, 64 << 20);

    /**
     * The result of opening a store.
     *
     * @param store the store; if it could not be opened, each write tries again
     * @param restored what could be read from it
     * @param status the condition in which it was found
     * @param detail text for operators; may be empty
     */
    public record Opened(RecoveryStore store, StoredState restored, Recovery.StoreStatus status, String detail) {}

    /** What a store holds, and a description of the first damage in it; null if there is none. */
    public record Inspection(StoredState contents, String damage) {}

    /** The record to be written for a key, and the callbacks that receive the result: null on success. */
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
    // Confined to the event loop:
    private Map<String, PendingWrite> pendingWrites = new LinkedHashMap<>();
    private boolean writeInProgress;
    private boolean closed;
    // Confined to the writer thread, after opening:
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
     * Opens the store of an instance, or creates one, and reports its condition. Blocks on file I/O, so it must be
     * called before the event loop serves requests.
     *
     * @param loop the executor on which results are reported
     * @param clock returns the time of day in microseconds
     */
    public static Opened open(Path folder, String instance, Executor loop, LongSupplier clock) {
        RecoveryStore recoveryStore = new RecoveryStore(folder, instance, loop, clock);
        RecoveryRecordCodec codec = new RecoveryRecordCodec();
        try {
            boolean folderExists = Files.isDirectory(folder);
            recoveryStore.store = Store.open(new DirectoryDisk(folder), OPTIONS, codec);
            StoredState restored = codec.contents();
            if (restored.instance() != null && !restored.instance().equals(instance)) {
                recoveryStore.store.close();
                String oldStorePath = recoveryStore.setAsideAndRecreate();
                return new Opened(
                        recoveryStore,
                        restored,
                        Recovery.StoreStatus.FOREIGN,
                        "that of " + restored.instance() + "; it was set aside as " + oldStorePath);
            }
            recoveryStore.recordStart(restored);
            return restored.instance() == null
                    ? new Opened(
                            recoveryStore,
                            StoredState.EMPTY,
                            Recovery.StoreStatus.MISSING,
                            folderExists ? "the folder is empty" : "there is no folder")
                    : new Opened(
                            recoveryStore,
                            restored,
                            Recovery.StoreStatus.INTACT,
                            "life " + (restored.startNumber() + 1));
        } catch (StoreInUseException e) {
            return new Opened(recoveryStore, StoredState.EMPTY, Recovery.StoreStatus.IN_USE, "");
        } catch (CorruptStoreException e) {
            try {
                String oldStorePath = recoveryStore.setAsideAndRecreate();
                return new Opened(
                        recoveryStore,
                        codec.contents(),
                        Recovery.StoreStatus.DAMAGED,
                        e.getMessage() + "; it was set aside as " + oldStorePath);
            } catch (IOException recreation) {
                return new Opened(
                        recoveryStore,
                        codec.contents(),
                        Recovery.StoreStatus.UNUSABLE,
                        e.getMessage() + "; and " + recreation.getMessage());
            }
        } catch (IOException e) {
            return new Opened(
                    recoveryStore, StoredState.EMPTY, Recovery.StoreStatus.UNUSABLE, String.valueOf(e.getMessage()));
        }
    }

    /** Reads a store, which may be in use, without changing it. */
    public static Inspection inspect(Path folder) throws IOException {
        RecoveryRecordCodec codec = new RecoveryRecordCodec();
        StoreVerification verification = StoreVerification.of(DirectoryDisk.existing(folder), OPTIONS.keys(), codec);
        return new Inspection(
                codec.contents(),
                verification.damage() == null ? null : verification.damage().getMessage());
    }

    /** Moves the present store aside, creates a new one, and returns the path of the old one. */
    private String setAsideAndRecreate() throws IOException {
        Path oldStore = null;
        for (int i = 1; i <= MAX_SET_ASIDE && (oldStore == null || Files.exists(oldStore)); i++) {
            oldStore = folder.resolveSibling(folder.getFileName() + ".aside-" + i);
        }
        if (Files.exists(oldStore)) {
            try (var files = Files.list(oldStore)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(oldStore);
        }
        Files.move(folder, oldStore);
        store = Store.open(new DirectoryDisk(folder), OPTIONS, new RecoveryRecordCodec());
        recordStart(StoredState.EMPTY);
        return oldStore.toString();
    }

    private void recordStart(StoredState restored) throws StoreFailedException {
        startNumber = restored.startNumber() + 1;
        restored.bans().forEach((name, entry) -> lastWritten.put("ban " + name, RecoveryRecordCodec.ban(name, entry)));
        if (restored.serverList() != null) {
            lastWritten.put("list", RecoveryRecordCodec.serverList(restored.serverListMicros(), restored.serverList()));
        }
        byte[] record = RecoveryRecordCodec.start(instance, startNumber, clock.getAsLong());
        lastWritten.put("life", record);
        store.append(List.of(record), true);
    }

    /**
     * Stores the entry of a server.
     *
     * @param entry the entry; null removes it
     * @param callback receives null once the entry is on disk, or the failure
     */
    public void saveBan(String name, ServerBans.Entry entry, Consumer<IOException> callback) {
        enqueue(
                "ban " + name,
                entry == null ? RecoveryRecordCodec.banRemoval(name) : RecoveryRecordCodec.ban(name, entry),
                callback);
    }

    /** Stores the full server list and the time at which it was valid, in microseconds of the time of day. */
    public void saveServerList(long timeMicros, byte[] list) {
        enqueue("list", RecoveryRecordCodec.serverList(timeMicros, list), null);
    }

    /** Stores that this instance is running now. */
    public void saveAliveMark() {
        enqueue("mark", RecoveryRecordCodec.aliveMark(clock.getAsLong()), null);
    }

    private void enqueue(String key, byte[] record, Consumer<IOException> callback) {
        List<Consumer<IOException>> callbacks = new ArrayList<>();
        PendingWrite previous = pendingWrites.remove(key);
        if (previous != null) {
            callbacks.addAll(previous.callbacks);
        }
        if (callback != null) {
            callbacks.add(callback);
        }
        pendingWrites.put(key, new PendingWrite(record, callbacks));
        startWrite();
    }

    private void startWrite() {
        if (writeInProgress || closed || pendingWrites.isEmpty()) {
            return;
        }
        Map<String, PendingWrite> batch = pendingWrites;
        pendingWrites = new LinkedHashMap<>();
        writeInProgress = true;
        writer.execute(() -> {
            IOException failure = write(batch);
            try {
                loop.execute(() -> {
                    writeInProgress = false;
                    batch.values().forEach(write -> write.callbacks.forEach(callback -> callback.accept(failure)));
                    startWrite();
                });
            } catch (RejectedExecutionException e) {
                writeInProgress = false; // the event loop has shut down; no callback is waiting
            }
        });
    }

    /** Writes a batch, on the writer thread; returns the failure, or null. */
    private IOException write(Map<String, PendingWrite> batch) {
        try {
            if (store == null) {
                RecoveryRecordCodec codec = new RecoveryRecordCodec();
                // The previous process may have ended by now.
                store = Store.open(new DirectoryDisk(folder), OPTIONS, codec);
                recordStart(codec.contents());
            }
            store.append(batch.values().stream().map(PendingWrite::record).toList(), true);
            batch.forEach((key, write) -> {
                if (RecoveryRecordCodec.isRemoval(write.record)) {
                    lastWritten.remove(key);
                } else {
                    lastWritten.put(key, write.record);
                }
            });
            recordsInLog += batch.size();
            if (recordsInLog >= COMPACT_AFTER_RECORDS) {
                compact();
            }
            return null;
        } catch (IOException e) {
            return e;
        } catch (RuntimeException e) {
            // A programming error: it is reported like a failed write, and the agent keeps serving.
            return new IOException(e.toString(), e);
        }
    }

    private void compact() throws StoreFailedException {
        Store.Snapshot snapshot = store.snapshot();
        for (byte[] record : lastWritten.values()) {
            snapshot.add(record);
        }
        snapshot.finish();
        recordsInLog = 0;
    }

    /** Writes what is pending and closes the store; {@code then} runs on the writer thread. */
    public void close(Runnable onClosed) {
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
                // the result of each write has been reported already
            } finally {
                onClosed.run();
            }
        });
        writer.shutdown();
    }

    /** Closes the store of an agent that failed to start, and waits up to a second for that. */
    public void abandon() {
        writer.execute(() -> {
            try {
                if (store != null) {
                    store.close();
                }
            } catch (IOException e) {
                // no write has been reported as successful
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
