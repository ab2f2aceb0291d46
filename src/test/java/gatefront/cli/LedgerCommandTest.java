package gatefront.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.ledger.Ledger;
import gatefront.ledger.UsageAmounts;
import gatefront.ledgerstore.LedgerStore;
import gatefront.storage.DirectoryDisk;
import gatefront.storage.RecordConsumer;
import gatefront.storage.Store;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks the exit statuses and the output of the ledger commands. */
class LedgerCommandTest {
    @TempDir
    private Path dir;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... args) {
        out.reset();
        err.reset();
        return Main.run(args, new PrintStream(out), new PrintStream(err));
    }

    @Test
    void onlyTheFirstOpeningFindsNoLedger() throws IOException {
        for (boolean first : new boolean[] {true, false, false}) {
            try (LedgerStore ledger =
                    LedgerStore.open(new DirectoryDisk(dir.resolve("a")), Store.Options.DEFAULTS, "agente-1")) {
                assertEquals(first, ledger.isNew());
            }
        }
    }

    private String createLedger(String name, String instance, long requests) throws IOException {
        Path folder = dir.resolve(name);
        try (LedgerStore ledger = LedgerStore.open(new DirectoryDisk(folder), Store.Options.DEFAULTS, instance)) {
            ledger.recordUsage(
                    7, Map.of(new Ledger.Cell(7, "mitla", "pago"), new UsageAmounts(requests, 8_000_000, 5, 6)));
            ledger.recordUsage(7, Map.of(new Ledger.Cell(7, "=1+1", "a,\"b\""), new UsageAmounts(1, 0, 0, 0)));
            ledger.closePeriod(7);
        }
        return folder.toString();
    }

    @Test
    void showPrintsTotalsAndNamesInstancesWithUnknownEntries() throws IOException {
        String folder = createLedger("a", "agente-1", 4);
        assertEquals(0, run("ledger", "show", folder, "--expect", "agente-1,agente-2"));
        assertTrue(out.toString().contains("mitla                pago                            4"), out.toString());
        assertTrue(
                out.toString().contains("entries of agente-2: unknown, it has not closed the period"), out.toString());
        assertTrue(!out.toString().contains("entries of agente-1"), out.toString());
        assertEquals(0, run("ledger", "show", folder, "--period", "8"));
        assertTrue(!out.toString().contains("mitla"));
        assertEquals(0, run("ledger", "show", folder, "--json"));
        assertTrue(out.toString().contains("{\"period\":7,\"tenant\":\"mitla\",\"class\":\"pago\",\"requests\":4,"));
        assertTrue(out.toString().contains("\"class\":\"a,\\\"b\\\"\""), out.toString());
    }

    @Test
    void exportPrintsEntriesAndEscapesSpreadsheetFormulas() throws IOException {
        String folder = createLedger("a", "agente-1", 4);
        assertEquals(0, run("ledger", "export", folder, "--csv"));
        assertTrue(out.toString().contains("agente-1/0/0,use,7,mitla,pago,4,8000000,5,6,,\n"), out.toString());
        assertTrue(out.toString().contains("agente-1/0/1,use,7,'=1+1,\"a,\"\"b\"\"\",1,0,0,0,,\n"), out.toString());
        assertEquals(0, run("ledger", "export", folder));
        assertEquals(3, out.toString().lines().count());
    }

    @Test
    void damageIsReportedInOneLineWithItsPosition() throws IOException {
        String folder = createLedger("a", "agente-1", 4);
        assertEquals(0, run("ledger", "verify", folder));
        assertTrue(out.toString().startsWith("intact: 3 entries, 1 segments"), out.toString());
        Path file;
        try (Stream<Path> files = Files.list(Path.of(folder))) {
            file = files.filter(path -> path.toString().endsWith(".log"))
                    .max(Comparator.naturalOrder())
                    .orElseThrow();
        }
        byte[] bytes = Files.readAllBytes(file);
        bytes[300] ^= 1;
        Files.write(file, bytes);
        assertEquals(Commands.CHECK_FAILED, run("ledger", "verify", folder));
        assertEquals(
                "DAMAGED " + file.getFileName() + " at 189: a frame that was forced to the disk is damaged",
                out.toString().strip());
        assertEquals(1, run("ledger", "show", folder), "a damaged ledger must not be shown");
        assertEquals(1, run("ledger", "verify", dir.resolve("nowhere").toString()));
        assertEquals(1, err.toString().lines().count(), err.toString());
    }

    @Test
    void aLostStoreIsNotReportedAsAnEmptyOne() throws IOException {
        Path lost = Files.createDirectory(dir.resolve("lost"));
        assertEquals(Commands.CHECK_FAILED, run("ledger", "verify", lost.toString()));
        assertTrue(out.toString().startsWith("MISSING " + lost + ": there is no store here"), out.toString());
        Files.writeString(lost.resolve("notes.txt"), "not a store file");
        assertEquals(Commands.CHECK_FAILED, run("ledger", "verify", lost.toString()));
        assertTrue(out.toString().contains("note: notes.txt is not a file of a store"), out.toString());
        Files.writeString(lost.resolve("0000000000000000.log.new"), "left by a first start that crashed");
        assertEquals(Commands.CHECK_FAILED, run("ledger", "verify", lost.toString()));
        Path empty = dir.resolve("empty");
        Store.open(new DirectoryDisk(empty), Store.Options.DEFAULTS, RecordConsumer.IGNORE)
                .close();
        assertEquals(0, run("ledger", "verify", empty.toString()));
        assertTrue(out.toString().startsWith("intact: 0 entries, 1 segments"), out.toString());
    }

    @Test
    void reconcileNamesEntriesThatDiffer() throws IOException {
        String one = createLedger("a", "agente-1", 4);
        String same = createLedger("b", "agente-1", 4);
        String other = createLedger("c", "agente-1", 5);
        assertEquals(0, run("ledger", "reconcile", one, same));
        assertEquals(Commands.CHECK_FAILED, run("ledger", "reconcile", one, other));
        assertTrue(out.toString().startsWith("agente-1/0/0 differs: {"), out.toString());
        assertTrue(out.toString().contains("1 differences"), out.toString());
    }

    @Test
    void correctWritesAFurtherEntry() throws IOException {
        String folder = createLedger("a", "agente-1", 4);
        assertEquals(
                0,
                run(
                        "ledger",
                        "correct",
                        folder,
                        "agente-1/0/0",
                        "--period",
                        "8",
                        "--requests",
                        "-1",
                        "--why",
                        "a test terminal"));
        assertEquals(0, run("ledger", "show", folder));
        assertTrue(out.toString().contains("period 8"), out.toString());
        assertTrue(out.toString().contains("-1"), out.toString());
        assertEquals(
                1,
                run(
                        "ledger",
                        "correct",
                        folder,
                        "agente-1/0/9",
                        "--period",
                        "8",
                        "--requests",
                        "-1",
                        "--why",
                        "no such entry"));
        assertEquals(
                2, run("ledger", "correct", folder, "agente-1", "--period", "8", "--requests", "-1", "--why", "x"));
        assertEquals(2, run("ledger", "correct", folder, "agente-1/0/0", "--period", "8", "--why", "no difference"));
        try (LedgerStore openLedger =
                LedgerStore.open(new DirectoryDisk(Path.of(folder)), Store.Options.DEFAULTS, "agente-1")) {
            assertNotNull(openLedger);
            assertEquals(
                    1,
                    run(
                            "ledger",
                            "correct",
                            folder,
                            "agente-1/0/0",
                            "--period",
                            "8",
                            "--requests",
                            "-1",
                            "--why",
                            "while the agent runs"));
            assertTrue(
                    err.toString().contains("the store is locked: it is already open in this or another process"),
                    err.toString());
        }
    }
}
