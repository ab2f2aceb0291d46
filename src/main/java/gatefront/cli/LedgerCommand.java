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

/** What staff do with the books of instances. */
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
            "Look into the ledger of use by municipio, and correct it.",
            "Exit status: 0 all is well, "
                    + "3 damage, a lost store or a difference, 2 wrong usage, 1 it cannot be done."
        })
final class LedgerCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Commands.USAGE;
    }

    /** What each of them is told: where the books are, and the keys. */
    abstract static class OfBooks implements Callable<Integer> {
        @Spec
        CommandSpec spec;

        @Parameters(index = "0", paramLabel = "FOLDER", description = "where the books are")
        Path folder;

        @Option(names = "--keys", paramLabel = "FILE", description = "the keys that signed them")
        Path keyFile;

        SigningKeys keys() throws IOException {
            return keyFile == null ? SigningKeys.NONE : SigningKeys.read(keyFile);
        }

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        /** All that is in some books; none of it where a file is not what was written. */
        LedgerStore.Contents look(Path which) throws IOException {
            LedgerStore.Contents[] look = {new LedgerStore.Contents(Ledger.EMPTY, null, -1, 0, 0)};
            StoreVerification verify = StoreVerification.of(
                    DirectoryDisk.existing(which), keys(), LedgerStore.contentsReader(at -> look[0] = at));
            if (verify.damage() != null) {
                throw verify.damage();
            }
            if (look[0].instance() == null) {
                throw new IOException(which + " holds no books");
            }
            return look[0];
        }
    }

    /** Totals. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Print what was used by municipio and class, and whose part is not whole.")
    static final class Show extends OfBooks {
        @Option(names = "--period", paramLabel = "N", description = "of this period alone")
        private Long period;

        @Option(names = "--expect", paramLabel = "NAME", split = ",", description = "instances that must have a part")
        private List<String> expected = new ArrayList<>();

        @Option(names = "--json", description = "As JSON, a line for each.")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            LedgerStore.Contents look = look(folder);
            for (long each : look.ledger().periods()) {
                if (period == null || period == each) {
                    show(look.ledger(), each);
                }
            }
            for (LedgerEntry each : look.ledger().unresolvedCorrections()) {
                out().println(
                                json
                                        ? EntryFormat.json(each)
                                        : "waits: " + each.id() + " corrects " + each.corrects()
                                                + ", which is not here");
            }
            if (!json) {
                out().printf(
                                Locale.ROOT,
                                "%s, life %d: %d entries, %d of its own, %d of them taken by the receiver%n",
                                look.instance(),
                                look.epoch(),
                                look.ledger().size(),
                                look.ownEntries(),
                                look.acknowledged());
            }
            return 0;
        }

        private void show(Ledger ledger, long of) {
            if (!json) {
                out().printf(
                                Locale.ROOT,
                                "period %d%n  %-20s %-20s %12s %16s %16s %16s%n",
                                of,
                                "municipio",
                                "class",
                                "requests",
                                "worth/1e6",
                                "work us",
                                "bytes");
            }
            for (Map.Entry<Ledger.Cell, UsageAmounts> each : ledger.totals(of).entrySet()) {
                UsageAmounts its = each.getValue();
                out().printf(
                                Locale.ROOT,
                                json
                                        ? "{\"period\":" + of + ",\"tenant\":%s,\"class\":%s,\"requests\":%d,"
                                                + "\"worth_millionths\":%d,\"work_us\":%d,\"bytes\":%d}%n"
                                        : "  %-20s %-20s %12d %16d %16d %16d%n",
                                json
                                        ? EntryFormat.quotedJson(each.getKey().tenant())
                                        : each.getKey().tenant(),
                                json
                                        ? EntryFormat.quotedJson(each.getKey().type())
                                        : each.getKey().type(),
                                its.requests(),
                                its.worth(),
                                its.work(),
                                its.bytes());
            }
            ledger.partStatuses(of, expected).forEach((whose, part) -> {
                if (!json && part != Ledger.PartStatus.COMPLETE) {
                    out().println("  the part of " + whose + " is "
                            + (part == Ledger.PartStatus.UNKNOWN
                                    ? "not known: it has not closed the period"
                                    : "not all here"));
                }
            });
        }
    }

    /** Whether the files are whole. */
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description = "Read every byte, and say in one line what is wrong and where.")
    static final class VerifyFiles extends OfBooks {
        @Override
        public Integer call() throws IOException {
            long[] entries = {0};
            StoreVerification verify = StoreVerification.of(
                    DirectoryDisk.existing(folder),
                    keys(),
                    LedgerStore.contentsReader(at -> entries[0] = at.ledger().size()));
            verify.notes().forEach(each -> out().println("note: " + each));
            if (verify.damage() != null) {
                out().println("DAMAGED " + verify.damage().getMessage());
                return Commands.BROKEN;
            }
            if (!verify.exists()) {
                out().println("MISSING " + folder + ": no store is here; it was never begun, or all of it is lost");
                return Commands.BROKEN;
            }
            out().println("whole: " + entries[0] + " entries, " + verify.segments() + " segments, " + verify.records()
                    + " records beyond the snapshot");
            return 0;
        }
    }

    /** Entries on paper. */
    @Command(name = "export", mixinStandardHelpOptions = true, description = "Print the entries, a line each.")
    static final class Export extends OfBooks {
        @Option(names = "--csv", description = "As CSV in place of JSON.")
        private boolean csv;

        @Option(names = "--period", paramLabel = "N", description = "of this period alone")
        private Long period;

        @Override
        public Integer call() throws IOException {
            LedgerStore.Contents look = look(folder);
            if (csv) {
                out().println(EntryFormat.CSV_HEADER);
            }
            for (LedgerEntry each : look.ledger().entries()) {
                if (period == null || each.period() == period) {
                    out().println(csv ? EntryFormat.csv(each) : EntryFormat.json(each));
                }
            }
            return 0;
        }
    }

    /** Where books differ. */
    @Command(
            name = "reconcile",
            mixinStandardHelpOptions = true,
            description = "Name each entry that two books do not have alike.")
    static final class Differences extends OfBooks {
        @Parameters(index = "1", paramLabel = "OTHER", description = "the folder of the other books")
        private Path other;

        @Override
        public Integer call() throws IOException {
            LedgerStore.Contents here = look(folder);
            LedgerStore.Contents there = look(other);
            Reconciliation.Result result = Reconciliation.run(
                    new DigestTree(here.ledger().entries()),
                    Reconciliation.Peer.of(new DigestTree(there.ledger().entries())));
            for (Reconciliation.Difference each : result.differences()) {
                out().println(each.id()
                        + (each.remote() == null
                                ? " is in " + folder + " alone"
                                : each.local() == null
                                        ? " is in " + other + " alone"
                                        : " is not the same in both: " + EntryFormat.json(each.local()) + " and "
                                                + EntryFormat.json(each.remote())));
            }
            out().println(result.differences().size() + " differences; " + result.queries() + " questions, "
                    + result.bytes() + " bytes");
            return result.differences().isEmpty() ? 0 : Commands.BROKEN;
        }
    }

    /** A correction. */
    @Command(
            name = "correct",
            mixinStandardHelpOptions = true,
            description = {
                "Write that an entry was wrong, as an entry of its own in an open period.",
                "The agent whose books these are must be stopped."
            })
    static final class Correct extends OfBooks {
        @Parameters(index = "1", paramLabel = "ENTRY", description = "INSTANCE/EPOCH/NUMBER, as export prints it")
        private String entry;

        @Option(names = "--period", paramLabel = "N", required = true, description = "the period that is open")
        private long period;

        @Option(names = "--requests", paramLabel = "N", description = "so many more; less than 0 for fewer")
        private long requests;

        @Option(names = "--worth", paramLabel = "N", description = "in millionths")
        private long worth;

        @Option(names = "--work", paramLabel = "N", description = "in microseconds")
        private long work;

        @Option(names = "--bytes", paramLabel = "N")
        private long bytes;

        @Option(names = "--why", paramLabel = "TEXT", required = true, description = "a sentence for the municipio")
        private String why;

        @Override
        public Integer call() throws IOException {
            EntryId id;
            try {
                id = EntryId.parse(entry);
            } catch (IllegalArgumentException e) {
                throw new ParameterException(spec.commandLine(), e.getMessage());
            }
            UsageAmounts by = new UsageAmounts(requests, worth, work, bytes);
            if (by.isZero()) {
                throw new ParameterException(
                        spec.commandLine(),
                        "a correction is of something: --requests, --worth, " + "--work or --bytes");
            }
            LedgerStore.Contents look = look(folder);
            if (look.ledger().get(id) == null) {
                throw new IOException("there is no entry " + id);
            }
            Store.Options usual = Store.Options.DEFAULTS;
            try (LedgerStore books = LedgerStore.open(
                    new DirectoryDisk(folder),
                    new Store.Options(keys(), usual.segmentBytes(), usual.maxBytes()),
                    look.instance())) {
                out().println(EntryFormat.json(books.correct(id, period, by, why)));
                books.closePeriod(period); // this life makes no more
            }
            return 0;
        }
    }
}
