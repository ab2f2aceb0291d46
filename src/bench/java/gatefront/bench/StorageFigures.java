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

/** What storage takes: entries a second and the time until each is kept by policy, and a start with many. */
public final class StorageFigures {
    private static final long SECONDS = 5;
    private static final int MANY = 10_000_000;
    private static final int GROUP = 1_000;

    private StorageFigures() {}

    /** Prints a line for each; the argument is a folder on the disk to be measured. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory(Path.of(args[0]), "storage");
        byte[] entry = LedgerEntryCodec.write(LedgerEntry.use(
                new EntryId("agente-1", 3, 123_456),
                20_788,
                "oaxaca-centro",
                "consulta-saldo",
                new UsageAmounts(42, 84_000_000, 3_100_000, 81_000)));
        System.out.printf(Locale.ROOT, "an entry of %d bytes%n", entry.length);
        for (GroupCommit.Policy each : GroupCommit.Policy.values()) {
            policy(folder.resolve(each.toString()), each, entry, SigningKeys.NONE);
        }
        start(folder.resolve("many"), entry);
        try (Stream<Path> all = Files.walk(folder)) {
            all.sorted(Comparator.reverseOrder()).forEach(each -> each.toFile().delete());
        }
    }

    private static void policy(Path folder, GroupCommit.Policy policy, byte[] entry, SigningKeys keys)
            throws Exception {
        Store store = Store.open(
                new DirectoryDisk(folder), new Store.Options(keys, 4 << 20, 1L << 34), RecordConsumer.IGNORE);
        Histogram micros = new Histogram(60_000_000L, 3);
        AtomicLong lost = new AtomicLong();
        GroupCommit commit = new GroupCommit(
                store, new GroupCommit.Settings(policy, 500, 1_024, 4_096), System::nanoTime, "storage");
        long began = System.nanoTime();
        long turnedAway = 0;
        while (System.nanoTime() - began < 1_000_000_000L * SECONDS) {
            long handed = System.nanoTime();
            boolean taken = commit.offer(entry, new GroupCommit.Listener() {
                @Override
                public void stored(long number) {
                    micros.recordValue((System.nanoTime() - handed) / 1_000); // all on the one thread
                }

                @Override
                public void failed(IOException why) {
                    lost.incrementAndGet();
                }
            });
            if (!taken) {
                turnedAway++;
                Thread.onSpinWait();
            }
        }
        commit.close();
        double seconds = (System.nanoTime() - began) / 1e9;
        System.out.printf(
                Locale.ROOT,
                "%-6s %10.0f entries a second, until kept: median %d us, 99th %d us; lost %d%n",
                policy,
                micros.getTotalCount() / seconds,
                micros.getValueAtPercentile(50),
                micros.getValueAtPercentile(99),
                lost.get());
    }

    private static void start(Path folder, byte[] entry) throws IOException {
        Store.Options options = new Store.Options(SigningKeys.NONE, 4 << 20, 1L << 34);
        Store store = Store.open(new DirectoryDisk(folder), options, RecordConsumer.IGNORE);
        List<byte[]> group = new ArrayList<>();
        for (int i = 0; i < GROUP; i++) {
            group.add(entry);
        }
        for (int i = 0; i < MANY / GROUP; i++) {
            store.append(group, false);
        }
        store.close();
        long[] seen = {0};
        long began = System.nanoTime();
        Store again = Store.open(new DirectoryDisk(folder), options, new RecordConsumer() {
            @Override
            public void snapshot(byte[] record) {}

            @Override
            public void record(long number, byte[] record) {
                seen[0]++;
            }
        });
        System.out.printf(
                Locale.ROOT,
                "a start with %d records in %d bytes: %.1f s%n",
                seen[0],
                again.sizeBytes(),
                (System.nanoTime() - began) / 1e9);
        again.close();
    }
}
