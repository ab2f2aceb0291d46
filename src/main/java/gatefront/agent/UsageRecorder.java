package gatefront.agent;

import gatefront.config.Config;
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
import java.util.function.Supplier;

/**
 * Fills an instance's books with what its engine has served. The loop counts, and hands over now and then what has
 * come together; a thread of its own writes, so that the loop waits for no disk. One hand-over is out at a time: while
 * it is, counts go on adding up where they are, so what waits is bounded by the cells there are, however slow the disk
 * is. What could not be written is added to the next.
 *
 * <p>A process that takes over from another finds the books open there, and counts until they are not.
 */
final class UsageRecorder {
    private static final double MILLIONTHS = 1e6;
    /** Periods without use that are closed one by one; a clock may jump over millions. */
    private static final long PASSED_MOST = 100;

    private final Transport transport;
    private final LedgerSettings table;
    private final Supplier<Config> config;
    private final Store.Options options;
    private final UsageMeter usage = new UsageMeter();
    private final ExecutorService writer = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "ledger");
        thread.setDaemon(true);
        return thread;
    });
    private final PeriodClock periods;
    /** Of the loop: whether a hand-over is out, and what is handed over next. */
    private boolean out;

    private boolean ended;
    private boolean failing;
    private TreeMap<Ledger.Cell, UsageAmounts> waiting = new TreeMap<>();
    /** What was handed over last; the writer takes out what it has written. */
    private TreeMap<Ledger.Cell, UsageAmounts> handed = new TreeMap<>();
    /** Of the writer: null while another process has them; and the first period that it has not closed. */
    private LedgerStore books;

    private long closed;

    private UsageRecorder(
            Transport transport,
            LedgerSettings table,
            Supplier<Config> config,
            Store.Options options,
            LedgerStore books) {
        this.transport = transport;
        this.table = table;
        this.config = config;
        this.options = options;
        this.books = books;
        long last = 0;
        for (long each : books == null ? List.<Long>of() : books.ledger().periods()) {
            last = each;
        }
        this.periods = new PeriodClock(table.periodMicros(), table.writeMicros(), last, transport.wallMicros());
        this.closed = periods.firstUnclosed();
    }

    /**
     * Opens the books; those that another process has are waited for.
     *
     * @param config the configuration as it is now; asked on the loop
     * @throws IOException with one line, if they cannot be used
     */
    static UsageRecorder open(Transport transport, LedgerSettings table, Supplier<Config> config) throws IOException {
        SigningKeys keys = table.keys() == null ? SigningKeys.NONE : SigningKeys.read(table.keys());
        Store.Options options = new Store.Options(keys, Store.Options.DEFAULTS.segmentBytes(), table.bytesMost());
        LedgerStore books = null;
        try {
            books = LedgerStore.open(new DirectoryDisk(table.folder()), options, table.instance());
            if (books.isNew()) {
                transport.log(
                        "ledger: " + table.folder() + " holds no books; they are begun now, or all of them are lost");
            }
        } catch (StoreInUseException e) {
            transport.log("ledger: another process writes the books; counting until it has ended");
        } catch (IOException e) {
            throw new IOException("ledger " + table.folder() + ": " + e.getMessage(), e);
        }
        return new UsageRecorder(transport, table, config, options, books);
    }

    /** Where the engine counts. */
    UsageMeter usage() {
        return usage;
    }

    /** Writes from now on. */
    void start() {
        transport
                .loop()
                .scheduleWithFixedDelay(
                        this::handOver, table.writeMicros(), table.writeMicros(), TimeUnit.MICROSECONDS);
    }

    private void handOver() {
        if (out || ended) {
            return;
        }
        // What was served since the last time counts in the period that was open then.
        take(periods.open());
        periods.advanceTo(transport.wallMicros());
        TreeMap<Ledger.Cell, UsageAmounts> cells = waiting;
        waiting = new TreeMap<>();
        handed = cells;
        out = true;
        long closing = periods.firstUnclosed();
        writer.execute(() -> write(cells, closing));
    }

    private void take(long period) {
        Config now = config.get();
        usage.drain((tenant, type, requests, work, bytes) -> {
            double worth = now.settings().classes().get(type).worth();
            waiting.merge(
                    new Ledger.Cell(
                            period,
                            now.tenants().isEmpty() ? "" : now.tenants().get(tenant),
                            now.classes().get(type)),
                    new UsageAmounts(requests, (long) (MILLIONTHS * worth * requests), work, bytes),
                    UsageAmounts::plus);
        });
    }

    /** On the writer: all that is handed over, or what is left of it goes back. */
    private void write(TreeMap<Ledger.Cell, UsageAmounts> cells, long closing) {
        IOException fault = null;
        try {
            into(cells, closing);
            books.compactIfLarge();
        } catch (IOException e) {
            fault = e;
        } catch (RuntimeException e) { // a fault of ours, or sums beyond a number: counting goes on, and staff hear
            fault = new IOException(e.toString(), e);
        }
        IOException told = fault;
        try {
            transport.loop().execute(() -> written(cells, told));
        } catch (RejectedExecutionException e) {
            transport.log("ledger: the agent has ended"); // its close wrote what is left, or told that it is lost
        }
    }

    /** Writes cells, period by period, and closes all before one; what was written is no longer among the cells. */
    private void into(TreeMap<Ledger.Cell, UsageAmounts> cells, long closing) throws IOException {
        if (books == null) {
            books = LedgerStore.open(new DirectoryDisk(table.folder()), options, table.instance());
        }
        while (!cells.isEmpty()) {
            long period = cells.firstKey().period();
            Map<Ledger.Cell, UsageAmounts> of = cells.headMap(new Ledger.Cell(period + 1, "", ""));
            books.recordUse(period, of);
            of.clear();
        }
        if (closing - closed > PASSED_MOST) { // the clock has jumped: what it passed was never open here
            for (long period : books.unclosedPeriods()) {
                books.closePeriod(period);
            }
            closed = closing - 1;
        }
        for (; closed < closing; closed++) { // what could not be written before has been, by now
            books.closePeriod(closed);
        }
    }

    private void written(TreeMap<Ledger.Cell, UsageAmounts> left, IOException fault) {
        if (ended) {
            return; // the close has what is left
        }
        out = false;
        left.forEach((cell, amounts) -> waiting.merge(cell, amounts, UsageAmounts::plus));
        left.clear();
        if (fault != null && !failing && !(fault instanceof StoreInUseException)) {
            transport.log("ledger: not written, and tried again: " + fault.getMessage());
        } else if (fault == null && failing) {
            transport.log("ledger: written again, nothing is missing");
        }
        failing = fault != null && !(fault instanceof StoreInUseException);
    }

    /** Writes what is left and closes the books; called on the loop, done on the writer. */
    void close(Runnable then) {
        ended = true;
        take(periods.open());
        TreeMap<Ledger.Cell, UsageAmounts> cells = waiting;
        TreeMap<Ledger.Cell, UsageAmounts> before = handed;
        long end = periods.open() + 1;
        writer.execute(() -> {
            try {
                before.forEach((cell, amounts) -> cells.merge(cell, amounts, UsageAmounts::plus));
                if (books != null || !cells.isEmpty()) {
                    into(cells, end); // this life makes no more entries: its part of what is open is whole, too
                    books.close();
                }
            } catch (IOException | RuntimeException e) {
                transport.log("ledger: what was served since it was last written is lost: " + e.getMessage());
            } finally {
                then.run();
            }
        });
        writer.shutdown();
    }

    /** Closes the books of an agent that never came up. */
    void abandon() {
        try {
            if (books != null) {
                books.close();
            }
        } catch (IOException e) {
            transport.log("ledger: " + e.getMessage());
        }
        writer.shutdown();
    }
}
