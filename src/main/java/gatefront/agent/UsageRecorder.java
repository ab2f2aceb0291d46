package gatefront.agent;

import gatefront.engine.UsageMeter;
import gatefront.ledger.Ledger;
import gatefront.ledger.PeriodClock;
import gatefront.ledger.UsageAmounts;
import gatefront.ledgerstore.LedgerStore;
import gatefront.storage.DirectoryDisk;
import gatefront.storage.SigningKeys;
import gatefront.storage.Store;
import gatefront.storage.StoreInUseException;
import gatefront.transport.Transport;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * Writes the usage served by the engine to the ledger of an instance. The event loop counts and periodically hands the
 * collected amounts to a writer thread, so that the loop never waits for the disk. Only one batch is in progress at a
 * time; meanwhile amounts keep accumulating per cell, so that the backlog is bounded by the number of cells, however
 * slow the disk is. Amounts that could not be written are added to the next batch.
 *
 * <p>A process that takes over from another finds the ledger open in that process, and counts until it is released.
 */
final class UsageRecorder {
    /**
     * Maximum number of periods without usage that are closed one by one; a clock may jump over millions of them.
     */
    private static final long MAX_CLOSED_SINGLY = 100;

    private final Transport transport;
    private final LedgerSettings settings;
    private final Store.Options options;
    private final UsageMeter meter = new UsageMeter();
    private final ExecutorService writer = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "ledger");
        thread.setDaemon(true);
        return thread;
    });
    private final PeriodClock periods;
    /** Whether the writer has a batch in progress. Confined to the loop. */
    private boolean writePending;

    private boolean closing;
    /** Whether the last write failed. */
    private boolean writesFailing;
    /** Amounts for the next batch. Confined to the loop. */
    private TreeMap<Ledger.Cell, UsageAmounts> pending = new TreeMap<>();
    /** The latest batch; the writer removes what it has written. */
    private TreeMap<Ledger.Cell, UsageAmounts> inProgress = new TreeMap<>();
    /** The ledger; null while another process holds it. Confined to the writer. */
    private LedgerStore ledgerStore;

    /** The first period that has not been closed. Confined to the writer. */
    private long firstUnclosed;

    private UsageRecorder(
            Transport transport, LedgerSettings settings, Store.Options options, LedgerStore ledgerStore) {
        this.transport = transport;
        this.settings = settings;
        this.options = options;
        this.ledgerStore = ledgerStore;
        long lastPeriod = 0;
        for (long period :
                ledgerStore == null ? List.<Long>of() : ledgerStore.ledger().periods()) {
            lastPeriod = period;
        }
        this.periods =
                new PeriodClock(settings.periodMicros(), settings.writeMicros(), lastPeriod, transport.wallMicros());
        this.firstUnclosed = periods.firstUnclosed();
    }

    /**
     * Opens the ledger. If another process holds it, it is opened later by the writer.
     *
     * @throws IOException with a one-line message, if the ledger cannot be used
     */
    static UsageRecorder open(Transport transport, LedgerSettings settings) throws IOException {
        SigningKeys keys = settings.keys() == null ? SigningKeys.NONE : SigningKeys.read(settings.keys());
        Store.Options options = new Store.Options(keys, Store.Options.DEFAULTS.segmentBytes(), settings.maxBytes());
        LedgerStore ledgerStore = null;
        try {
            ledgerStore = LedgerStore.open(new DirectoryDisk(settings.directory()), options, settings.instance());
            if (ledgerStore.isNew()) {
                transport.log("ledger: " + settings.directory()
                        + " holds no ledger: starting a new one; if there was one before, it is lost");
            }
        } catch (StoreInUseException e) {
            transport.log("ledger: held by another process; counting in memory until that has ended");
        } catch (IOException e) {
            throw new IOException("ledger " + settings.directory() + ": " + e.getMessage(), e);
        }
        return new UsageRecorder(transport, settings, options, ledgerStore);
    }

    /** Returns the meter that the engine counts on. */
    UsageMeter meter() {
        return meter;
    }

    /** Starts the periodic writes. */
    void start() {
        transport
                .loop()
                .scheduleWithFixedDelay(
                        this::submitBatch, settings.writeMicros(), settings.writeMicros(), TimeUnit.MICROSECONDS);
    }

    private void submitBatch() {
        if (writePending || closing) {
            return;
        }
        // Usage since the previous batch belongs to the period that was open then.
        collect(periods.open());
        periods.advanceTo(transport.wallMicros());
        TreeMap<Ledger.Cell, UsageAmounts> batch = pending;
        pending = new TreeMap<>();
        inProgress = batch;
        writePending = true;
        long closeBefore = periods.firstUnclosed();
        writer.execute(() -> write(batch, closeBefore));
    }

    private void collect(long period) {
        meter.drain((tenant, requestClass, requests, worthMillionths, serverMicros, bytes) -> pending.merge(
                new Ledger.Cell(period, tenant, requestClass),
                new UsageAmounts(requests, worthMillionths, serverMicros, bytes),
                UsageAmounts::plus));
    }

    /** Writes a batch, on the writer thread; amounts that could not be written are returned to the loop. */
    private void write(TreeMap<Ledger.Cell, UsageAmounts> batch, long closeBefore) {
        IOException failure = null;
        try {
            writeTo(batch, closeBefore);
            ledgerStore.compactIfLarge();
        } catch (IOException e) {
            failure = e;
        } catch (RuntimeException e) {
            // A defect, or an overflow of the sums: counting continues, and the failure is logged for the operators.
            failure = new IOException(e.toString(), e);
        }
        IOException result = failure;
        try {
            transport.loop().execute(() -> onWritten(batch, result));
        } catch (RejectedExecutionException e) {
            // close() has written what was left, or logged its loss.
            transport.log("ledger: result of the last write dropped, the agent has stopped");
        }
    }

    /**
     * Writes the cells period by period, removing those written, and then closes all periods before
     * {@code closeBefore}.
     */
    private void writeTo(TreeMap<Ledger.Cell, UsageAmounts> batch, long closeBefore) throws IOException {
        if (ledgerStore == null) {
            ledgerStore = LedgerStore.open(new DirectoryDisk(settings.directory()), options, settings.instance());
        }
        while (!batch.isEmpty()) {
            long period = batch.firstKey().period();
            Map<Ledger.Cell, UsageAmounts> periodCells = batch.headMap(new Ledger.Cell(period + 1, "", ""));
            ledgerStore.recordUsage(period, periodCells);
            periodCells.clear();
        }
        if (closeBefore - firstUnclosed > MAX_CLOSED_SINGLY) {
            // The clock has jumped: the periods in between were never open here.
            for (long period : ledgerStore.unclosedPeriods()) {
                ledgerStore.closePeriod(period);
            }
            firstUnclosed = closeBefore - 1;
        }
        for (; firstUnclosed < closeBefore; firstUnclosed++) {
            // Amounts that could not be written earlier have been written above.
            ledgerStore.closePeriod(firstUnclosed);
        }
    }

    private void onWritten(TreeMap<Ledger.Cell, UsageAmounts> unwritten, IOException failure) {
        if (closing) {
            return; // close() writes what is left
        }
        writePending = false;
        unwritten.forEach((cell, amounts) -> pending.merge(cell, amounts, UsageAmounts::plus));
        unwritten.clear();
        if (failure != null && !writesFailing && !(failure instanceof StoreInUseException)) {
            transport.log("ledger: write failed, will be retried: " + failure.getMessage());
        } else if (failure == null && writesFailing) {
            transport.log("ledger: writes succeed again, no usage was lost");
        }
        writesFailing = failure != null && !(failure instanceof StoreInUseException);
    }

    /** Writes what is left and closes the ledger. Called on the loop; runs on the writer, as does {@code then}. */
    void close(Runnable onClosed) {
        closing = true;
        collect(periods.open());
        TreeMap<Ledger.Cell, UsageAmounts> batch = pending;
        TreeMap<Ledger.Cell, UsageAmounts> inProgressBatch = inProgress;
        long closeBefore = periods.open() + 1;
        writer.execute(() -> {
            try {
                inProgressBatch.forEach((cell, amounts) -> batch.merge(cell, amounts, UsageAmounts::plus));
                if (ledgerStore != null || !batch.isEmpty()) {
                    writeTo(batch, closeBefore); // the part of this process in the open period is complete, too
                    ledgerStore.close();
                }
            } catch (IOException | RuntimeException e) {
                transport.log("ledger: usage since the last successful write is lost: " + e.getMessage());
            } finally {
                onClosed.run();
            }
        });
        writer.shutdown();
    }

    /** Closes the ledger of an agent that failed to start. */
    void abandon() {
        try {
            if (ledgerStore != null) {
                ledgerStore.close();
            }
        } catch (IOException e) {
            transport.log("ledger: " + e.getMessage());
        }
        writer.shutdown();
    }
}
