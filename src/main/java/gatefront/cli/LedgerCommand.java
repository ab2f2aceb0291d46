package gatefront.cli;

import gatefront.ledger.DigestTree;
import gatefront.ledger.EntryId;
import gatefront.ledger.Ledger;
import gatefront.ledger.LedgerEntry;
import gatefront.ledger.Reconciliation;
import gatefront.ledger.UsageAmounts;
import gatefront.ledgerstore.EntryFormat;
import gatefront.ledgerstore.LedgerStore;
import gatefront.storage.DirectoryDisk;
import gatefront.storage.SigningKeys;
import gatefront.storage.Store;
import gatefront.storage.StoreVerification;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The commands with which operators inspect, compare and correct the ledgers of instances. */
@Command(
        name = "ledger",
        mixinStandardHelpOptions = true,
        subcommands = {
            LedgerCommand.Show.class,
            LedgerCommand.VerifyFiles.class,
            LedgerCommand.Export.class,
            LedgerCommand.Differences.class,
            LedgerCommand.Correct.class
        },
        description = {
            "Inspect and correct the ledger of use by municipio.",
            "Exit status: 0 success, "
                    + "3 the store is damaged, missing or differs, 2 invalid usage, 1 the command failed."
        })
final class LedgerCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Commands.USAGE;
    }

    /** The arguments that all subcommands share: the folder of the ledger and its signing keys. */
    abstract static class LedgerFolderCommand implements Callable<Integer> {
        @Spec
        CommandSpec spec;

        @Parameters(index = "0", paramLabel = "FOLDER", description = "Folder of the ledger.")
        Path folder;

        @Option(
                names = "--keys",
                paramLabel = "FILE",
                description = "File with the keys that the ledger is signed with.")
        Path keyFile;

        SigningKeys keys() throws IOException {
            return keyFile == null ? SigningKeys.NONE : SigningKeys.read(keyFile);
        }

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        /** Reads a whole ledger. Throws if any of its files is damaged, so that no partial totals are printed. */
        LedgerStore.Contents read(Path ledgerFolder) throws IOException {
            LedgerStore.Contents[] contents = {new LedgerStore.Contents(Ledger.EMPTY, null, -1, 0, 0)};
            StoreVerification verification = StoreVerification.of(
                    DirectoryDisk.existing(ledgerFolder),
                    keys(),
                    LedgerStore.contentsReader(read -> contents[0] = read));
            if (verification.damage() != null) {
                throw verification.damage();
            }
            if (contents[0].instance() == null) {
                throw new IOException(ledgerFolder + " holds no ledger");
            }
            return contents[0];
        }
    }

    /** Prints the totals by period, tenant and class. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description =
                    "Print the totals of use by municipio and class, and the instances whose entries are incomplete.")
    static final class Show extends LedgerFolderCommand {
        @Option(names = "--period", paramLabel = "N", description = "Only this period.")
        private Long period;

        @Option(names = "--expect", paramLabel = "NAME", split = ",", description = "Instances that must have entries.")
        private List<String> expected = new ArrayList<>();

        @Option(names = "--json", description = "Print JSON, one line per total.")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            LedgerStore.Contents contents = read(folder);
            for (long number : contents.ledger().periods()) {
                if (period == null || period == number) {
                    printTotals(contents.ledger(), number);
                }
            }
            for (LedgerEntry correction : contents.ledger().unresolvedCorrections()) {
                out().println(
                                json
                                        ? EntryFormat.json(correction)
                                        : "unresolved: " + correction.id() + " corrects " + correction.corrects()
                                                + ", which is missing from this ledger");
            }
            if (!json) {
                out().printf(
                                Locale.ROOT,
                                "%s, epoch %d: %d entries, %d of its own, %d of these acknowledged by the receiver%n",
                                contents.instance(),
                                contents.epoch(),
                                contents.ledger().size(),
                                contents.ownEntries(),
                                contents.acknowledged());
            }
            return 0;
        }

        private void printTotals(Ledger ledger, long number) {
            if (!json) {
                out().printf(
                                Locale.ROOT,
                                "period %d%n  %-20s %-20s %12s %16s %16s %16s%n",
                                number,
                                "municipio",
                                "class",
                                "requests",
                                "worth/1e6",
                                "work us",
                                "bytes");
            }
            for (Map.Entry<Ledger.Cell, UsageAmounts> total :
                    ledger.totals(number).entrySet()) {
                UsageAmounts amounts = total.getValue();
                out().printf(
                                Locale.ROOT,
                                json
                                        ? "{\"period\":" + number + ",\"tenant\":%s,\"class\":%s,\"requests\":%d,"
                                                + "\"worth_millionths\":%d,\"work_us\":%d,\"bytes\":%d}%n"
                                        : "  %-20s %-20s %12d %16d %16d %16d%n",
                                json
                                        ? EntryFormat.quotedJson(total.getKey().tenant())
                                        : total.getKey().tenant(),
                                json
                                        ? EntryFormat.quotedJson(total.getKey().type())
                                        : total.getKey().type(),
                                amounts.requests(),
                                amounts.worth(),
                                amounts.work(),
                                amounts.bytes());
            }
            ledger.partStatuses(number, expected).forEach((instance, status) -> {
                if (!json && status != Ledger.PartStatus.COMPLETE) {
                    out().println("  entries of " + instance + ": "
                            + (status == Ledger.PartStatus.UNKNOWN
                                    ? "unknown, it has not closed the period"
                                    : "incomplete, some are missing from this ledger"));
                }
            });
        }
    }

    /** Verifies the files of a ledger. */
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description = "Read every byte, and report the first damage and its position in one line.")
    static final class VerifyFiles extends LedgerFolderCommand {
        @Override
        public Integer call() throws IOException {
            long[] entries = {0};
            StoreVerification verification = StoreVerification.of(
                    DirectoryDisk.existing(folder),
                    keys(),
                    LedgerStore.contentsReader(
                            contents -> entries[0] = contents.ledger().size()));
            verification.notes().forEach(note -> out().println("note: " + note));
            if (verification.damage() != null) {
                out().println("DAMAGED " + verification.damage().getMessage());
                return Commands.CHECK_FAILED;
            }
            if (!verification.exists()) {
                out().println("MISSING " + folder
                        + ": there is no store here; it was never created, or all of it has been lost");
                return Commands.CHECK_FAILED;
            }
            out().println("intact: " + entries[0] + " entries, " + verification.segments() + " segments, "
                    + verification.records() + " records beyond the snapshot");
            return 0;
        }
    }

    /** Prints the entries. */
    @Command(name = "export", mixinStandardHelpOptions = true, description = "Print the entries, one per line.")
    static final class Export extends LedgerFolderCommand {
        @Option(names = "--csv", description = "Print CSV instead of JSON.")
        private boolean csv;

        @Option(names = "--period", paramLabel = "N", description = "Only this period.")
        private Long period;

        @Override
        public Integer call() throws IOException {
            LedgerStore.Contents contents = read(folder);
            if (csv) {
                out().println(EntryFormat.CSV_HEADER);
            }
            for (LedgerEntry entry : contents.ledger().entries()) {
                if (period == null || entry.period() == period) {
                    out().println(csv ? EntryFormat.csv(entry) : EntryFormat.json(entry));
                }
            }
            return 0;
        }
    }

    /** Prints the entries in which two ledgers differ. */
    @Command(
            name = "reconcile",
            mixinStandardHelpOptions = true,
            description = "Print each entry that differs between two ledgers or is missing from one of them.")
    static final class Differences extends LedgerFolderCommand {
        @Parameters(index = "1", paramLabel = "OTHER", description = "Folder of the other ledger.")
        private Path other;

        @Override
        public Integer call() throws IOException {
            LedgerStore.Contents local = read(folder);
            LedgerStore.Contents remote = read(other);
            Reconciliation.Result result = Reconciliation.run(
                    new DigestTree(local.ledger().entries()),
                    Reconciliation.Peer.of(new DigestTree(remote.ledger().entries())));
            for (Reconciliation.Difference difference : result.differences()) {
                out().println(difference.id()
                        + (difference.remote() == null
                                ? " is only in " + folder
                                : difference.local() == null
                                        ? " is only in " + other
                                        : " differs: " + EntryFormat.json(difference.local()) + " and "
                                                + EntryFormat.json(difference.remote())));
            }
            out().println(result.differences().size() + " differences; " + result.queries() + " queries, "
                    + result.bytes() + " bytes");
            return result.differences().isEmpty() ? 0 : Commands.CHECK_FAILED;
        }
    }

    /** Writes a correction of an entry. */
    @Command(
            name = "correct",
            mixinStandardHelpOptions = true,
            description = {
                "Correct an entry by a further entry in an open period.",
                "The agent that writes this ledger must be stopped."
            })
    static final class Correct extends LedgerFolderCommand {
        @Parameters(index = "1", paramLabel = "ENTRY", description = "INSTANCE/EPOCH/NUMBER, as export prints it")
        private String entry;

        @Option(
                names = "--period",
                paramLabel = "N",
                required = true,
                description = "The open period that the correction is written in.")
        private long period;

        @Option(
                names = "--requests",
                paramLabel = "N",
                description = "Difference in requests; negative to reduce them.")
        private long requests;

        @Option(names = "--worth", paramLabel = "N", description = "Difference in worth, in millionths.")
        private long worth;

        @Option(names = "--work", paramLabel = "N", description = "Difference in work, in microseconds.")
        private long work;

        @Option(names = "--bytes", paramLabel = "N", description = "Difference in bytes.")
        private long bytes;

        @Option(
                names = "--why",
                paramLabel = "TEXT",
                required = true,
                description = "Reason, as a sentence for the municipio.")
        private String why;

        @Override
        public Integer call() throws IOException {
            EntryId id;
            try {
                id = EntryId.parse(entry);
            } catch (IllegalArgumentException e) {
                throw new ParameterException(spec.commandLine(), e.getMessage());
            }
            UsageAmounts difference = new UsageAmounts(requests, worth, work, bytes);
            if (difference.isZero()) {
                throw new ParameterException(
                        spec.commandLine(),
                        "a correction needs a difference other than 0 in --requests, --worth, --work or --bytes");
            }
            LedgerStore.Contents contents = read(folder);
            if (contents.ledger().get(id) == null) {
                throw new IOException(folder + " holds no entry " + id);
            }
            Store.Options defaults = Store.Options.DEFAULTS;
            try (LedgerStore ledger = LedgerStore.open(
                    new DirectoryDisk(folder),
                    new Store.Options(keys(), defaults.segmentBytes(), defaults.maxBytes()),
                    contents.instance())) {
                out().println(EntryFormat.json(ledger.correct(id, period, difference, why)));
                // This epoch writes no further entries, so its part of the period is complete.
                ledger.closePeriod(period);
            }
            return 0;
        }
    }
}
