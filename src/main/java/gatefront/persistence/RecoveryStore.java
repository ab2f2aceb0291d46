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
 * Keeps what an instance is to know again. The owner's loop hands records over; a thread of the keeper's own writes all
 * that have come together as one frame, forces it, and tells the loop. One hand-over is out at a time.
 *
 * <p>A store that cannot be believed is set aside, for staff, beside its folder ({@link #ASIDE_MOST} of them are kept),
 * and a new one is begun. State: what waits, by what it is about, so that it is bounded by {@link ServerBans#MOST}, a
 * list and a mark; on the thread, the same as last written, for snapshots.
 */
public final class RecoveryStore {
    /** Stores set aside at the most; a further one takes the place of the last. */
    static final int ASIDE_MOST = 3;
    /** Records in the log from which a snapshot takes their place. */
    private static final int LOG_MOST = 5_000;

    private static final Store.Options OPTIONS = new Store.Options(SigningKeys.NONE, 1 << 20, 64 << 20);

    /** What opening a store has come to. */
    public record Opened(RecoveryStore keeper, StoredState kept, Recovery.Store state, String why) {}

    /** What a store holds, and the first damage in it or null. */
    public record Look(StoredState kept, String damage) {}

    /** What waits to be written about one thing, and who is told. */
    private record Waiting(byte[] record, List<Consumer<IOException>> told) {}

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
    private Map<String, Waiting> waiting = new LinkedHashMap<>();
    private boolean out;
    private boolean ended;
    // Of the writer:
    private Store store;
    private long logged;
    private long life;
    private final Map<String, byte[]> state = new LinkedHashMap<>();

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
            StoredState kept = read.kept();
            if (kept.instance() != null && !kept.instance().equals(instance)) {
                keeper.store.close();
                String aside = keeper.anew();
                return new Opened(
                        keeper,
                        kept,
                        Recovery.Store.ANOTHERS,
                        "that of " + kept.instance() + "; it was set aside as " + aside);
            }
            keeper.begin(kept);
            return kept.instance() == null
                    ? new Opened(
                            keeper,
                            StoredState.NOTHING,
                            Recovery.Store.MISSING,
                            there ? "the folder is empty" : "there is no folder")
                    : new Opened(keeper, kept, Recovery.Store.WHOLE, "life " + (kept.life() + 1));
        } catch (StoreInUseException e) {
            return new Opened(keeper, StoredState.NOTHING, Recovery.Store.IN_USE, "");
        } catch (CorruptStoreException e) {
            try {
                String aside = keeper.anew();
                return new Opened(
                        keeper, read.kept(), Recovery.Store.DAMAGED, e.getMessage() + "; it was set aside as " + aside);
            } catch (IOException again) {
                return new Opened(
                        keeper, read.kept(), Recovery.Store.UNUSABLE, e.getMessage() + "; and " + again.getMessage());
            }
        } catch (IOException e) {
            return new Opened(keeper, StoredState.NOTHING, Recovery.Store.UNUSABLE, String.valueOf(e.getMessage()));
        }
    }

    /** Looks at a store, which may be in use, and changes nothing. */
    public static Look look(Path folder) throws IOException {
        RecoveryRecordCodec read = new RecoveryRecordCodec();
        StoreVerification verify = StoreVerification.of(DirectoryDisk.existing(folder), OPTIONS.keys(), read);
        return new Look(
                read.kept(), verify.damage() == null ? null : verify.damage().getMessage());
    }

    /** Sets what is there aside and begins anew. */
    private String anew() throws IOException {
        Path aside = null;
        for (int i = 1; i <= ASIDE_MOST && (aside == null || Files.exists(aside)); i++) {
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
        begin(StoredState.NOTHING);
        return aside.toString();
    }

    private void begin(StoredState kept) throws StoreFailedException {
        life = kept.life() + 1;
        kept.bans().forEach((name, entry) -> state.put("ban " + name, RecoveryRecordCodec.ban(name, entry)));
        if (kept.list() != null) {
            state.put("list", RecoveryRecordCodec.list(kept.listAt(), kept.list()));
        }
        byte[] record = RecoveryRecordCodec.life(instance, life, clock.getAsLong());
        state.put("life", record);
        store.append(List.of(record), true);
    }

    /** A call by hand has changed something; told once it is on the disk, or cannot be. */
    public void ban(String name, ServerBans.Entry entry, Consumer<IOException> told) {
        add(
                "ban " + name,
                entry == null ? RecoveryRecordCodec.forgotten(name) : RecoveryRecordCodec.ban(name, entry),
                told);
    }

    /** The whole list as it is now. */
    public void list(long at, byte[] list) {
        add("list", RecoveryRecordCodec.list(at, list), null);
    }

    /** This instance is there. */
    public void mark() {
        add("mark", RecoveryRecordCodec.mark(clock.getAsLong()), null);
    }

    private void add(String about, byte[] record, Consumer<IOException> told) {
        List<Consumer<IOException>> all = new ArrayList<>();
        Waiting before = waiting.remove(about);
        if (before != null) {
            all.addAll(before.told);
        }
        if (told != null) {
            all.add(told);
        }
        waiting.put(about, new Waiting(record, all));
        handOver();
    }

    private void handOver() {
        if (out || ended || waiting.isEmpty()) {
            return;
        }
        Map<String, Waiting> handed = waiting;
        waiting = new LinkedHashMap<>();
        out = true;
        writer.execute(() -> {
            IOException fault = write(handed);
            try {
                loop.execute(() -> {
                    out = false;
                    handed.values().forEach(each -> each.told.forEach(told -> told.accept(fault)));
                    handOver();
                });
            } catch (RejectedExecutionException e) {
                out = false; // the agent has ended; nobody waits any more
            }
        });
    }

    /** On the writer. */
    private IOException write(Map<String, Waiting> handed) {
        try {
            if (store == null) {
                RecoveryRecordCodec read = new RecoveryRecordCodec();
                store = Store.open(new DirectoryDisk(folder), OPTIONS, read); // the process before has ended, perhaps
                begin(read.kept());
            }
            store.append(handed.values().stream().map(Waiting::record).toList(), true);
            handed.forEach((about, each) -> {
                if (RecoveryRecordCodec.ends(each.record)) {
                    state.remove(about);
                } else {
                    state.put(about, each.record);
                }
            });
            logged += handed.size();
            if (logged >= LOG_MOST) {
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
        for (byte[] each : state.values()) {
            snapshot.add(each);
        }
        snapshot.finish();
        logged = 0;
    }

    /** Writes what waits, and ends; {@code then} runs on the writer. */
    public void close(Runnable then) {
        mark();
        ended = true;
        Map<String, Waiting> last = waiting;
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
