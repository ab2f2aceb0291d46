package gatefront.bench;

import gatefront.ledger.EntryId;
import gatefront.ledger.LedgerEntry;
import gatefront.ledger.UsageAmounts;
import gatefront.ledgerstore.LedgerEntryCodec;
import gatefront.storage.DirectoryDisk;
import gatefront.storage.GroupCommit;
import gatefront.storage.RecordConsumer;
import gatefront.storage.SigningKeys;
import gatefront.storage.Store;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/**
 * Measures the storage: the entries per second and the time until an entry is stored for each policy of group commit, and
 * the duration of a start with many records.
 */
public final class StorageFigures {
    private static final long SECONDS_PER_POLICY = 5;
    private static final int START_RECORDS = 10_000_000;
    private static final int RECORDS_PER_APPEND = 1_000;

    private StorageFigures() {}

    /** Prints one line per measurement. The argument is a folder on the disk to be measured. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory(Path.of(args[0]), "storage");
        byte[] entry = LedgerEntryCodec.write(LedgerEntry.use(
                new EntryId("agente-1", 3, 123_456),
                20_788,
                "oaxaca-centro",
                "consulta-saldo",
                new UsageAmounts(42, 84_000_000, 3_100_000, 81_000)));
        System.out.printf(Locale.ROOT, "an entry of %d bytes%n", entry.length);
        for (GroupCommit.Policy policy : GroupCommit.Policy.values()) {
            measurePolicy(folder.resolve(policy.toString()), policy, entry, SigningKeys.NONE);
        }
        measureStart(folder.resolve("many"), entry);
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        }
    }

    private static void measurePolicy(Path folder, GroupCommit.Policy policy, byte[] entry, SigningKeys keys)
            throws Exception {
        Store store = Store.open(
                new DirectoryDisk(folder), new Store.Options(keys, 4 << 20, 1L << 34), RecordConsumer.IGNORE);
        Histogram micros = new Histogram(60_000_000L, 3);
        AtomicLong failed = new AtomicLong();
        GroupCommit commit = new GroupCommit(
                store, new GroupCommit.Settings(policy, 500, 1_024, 4_096), System::nanoTime, "storage");
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < 1_000_000_000L * SECONDS_PER_POLICY) {
            long offeredNanos = System.nanoTime();
            boolean accepted = commit.offer(entry, new GroupCommit.Listener() {
                @Override
                public void stored(long number) {
                    // The histogram is not thread-safe: all listeners run on the writer thread.
                    micros.recordValue((System.nanoTime() - offeredNanos) / 1_000);
                }

                @Override
                public void failed(IOException cause) {
                    failed.incrementAndGet();
                }
            });
            if (!accepted) {
                Thread.onSpinWait();
            }
        }
        commit.close();
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        System.out.printf(
                Locale.ROOT,
                "%-6s %10.0f entries/s, time until stored: median %d us, 99th percentile %d us; failed %d%n",
                policy,
                micros.getTotalCount() / seconds,
                micros.getValueAtPercentile(50),
                micros.getValueAtPercentile(99),
                failed.get());
    }

    private static void measureStart(Path folder, byte[] entry) throws IOException {
        Store.Options options = new Store.Options(SigningKeys.NONE, 4 << 20, 1L << 34);
        Store store = Store.open(new DirectoryDisk(folder), options, RecordConsumer.IGNORE);
        List<byte[]> group = new ArrayList<>();
        for (int i = 0; i < RECORDS_PER_APPEND; i++) {
            group.add(entry);
        }
        for (int i = 0; i < START_RECORDS / RECORDS_PER_APPEND; i++) {
            store.append(group, false);
        }
        store.close();
        long[] records = {0};
        long startNanos = System.nanoTime();
        Store reopened = Store.open(new DirectoryDisk(folder), options, new RecordConsumer() {
            @Override
            public void snapshot(byte[] record) {}

            @Override
            public void record(long number, byte[] record) {
                records[0]++;
            }
        });
        System.out.printf(
                Locale.ROOT,
                "a start with %d records in %d bytes: %.1f s%n",
                records[0],
                reopened.sizeBytes(),
                (System.nanoTime() - startNanos) / 1e9);
        reopened.close();
    }
}
