package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.config.Config;
import gatefront.ledger.Ledger;
import gatefront.ledger.UsageAmounts;
import gatefront.ledgerstore.LedgerStore;
import gatefront.storage.DirectoryDisk;
import gatefront.storage.SigningKeys;
import gatefront.storage.Store;
import gatefront.storage.StoreVerification;
import gatefront.toml.TomlException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The usage of an agent is written to its ledger, over sockets and in a real directory. */
class UsageRecorderTest {
    @TempDir
    private Path folder;

    private AgentFixture fixture;

    @BeforeEach
    void setUp() throws IOException {
        fixture = new AgentFixture();
        fixture.server((message, socket) -> ScriptedPeer.respond(socket, 200, "", "served"));
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    private Extensions ledgerExtensions(String extraSettings) throws TomlException {
        return Extensions.parse(
                "x.toml",
                "[ledger]\nfolder = \"" + folder.resolve("books") + "\"\n"
                        + "instance = \"agente-1\"\nwrite_s = 0.1\nperiod_s = 86400\n" + extraSettings,
                Config.fromJson(fixture.config));
    }

    private LedgerStore.Contents readLedger() throws IOException {
        LedgerStore.Contents[] state = new LedgerStore.Contents[1];
        StoreVerification verify = StoreVerification.of(
                DirectoryDisk.existing(folder.resolve("books")),
                SigningKeys.NONE,
                LedgerStore.contentsReader(at -> state[0] = at));
        assertEquals(null, verify.damage());
        return state[0];
    }

    private static UsageAmounts total(Ledger ledger, String type) {
        UsageAmounts sum = UsageAmounts.ZERO;
        for (long period : ledger.periods()) {
            for (var cell : ledger.totals(period).entrySet()) {
                sum = cell.getKey().type().equals(type) ? sum.plus(cell.getValue()) : sum;
            }
        }
        return sum;
    }

    private void sendRequests(int count, String type) throws IOException {
        for (int i = 0; i < count; i++) {
            assertEquals(
                    200,
                    AgentFixture.exchange(
                                    fixture.dial(), fixture.request(type, 8_000, type.equals("lookup") ? "" : "abcd"))
                            .status());
        }
    }

    @Test
    void usageIsWrittenPeriodicallyAndOnStop() throws Exception {
        fixture.start(ledgerExtensions(""));
        sendRequests(3, "lookup");
        AgentFixture.await(() -> {
            try {
                return readLedger() != null
                        && total(readLedger().ledger(), "lookup").requests() == 3;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        sendRequests(2, "pay");
        fixture.agent.stop();
        Ledger ledger = readLedger().ledger();
        UsageAmounts payUsage = total(ledger, "pay");
        assertEquals(2, payUsage.requests(), "including requests served just before the stop");
        assertEquals(2 * ("abcd".length() + "served".length()), payUsage.bytes());
        assertTrue(payUsage.work() > 0);
        assertEquals(3 * "served".length(), total(ledger, "lookup").bytes());
        for (long period : ledger.periods()) {
            assertEquals(
                    List.of(Ledger.PartStatus.COMPLETE),
                    List.copyOf(ledger.partStatuses(period, List.of()).values()));
        }
    }

    @Test
    void usageNeverWrittenPeriodicallyIsWrittenOnStop() throws Exception {
        fixture.start(Extensions.parse(
                "x.toml",
                "[ledger]\nfolder = \"" + folder.resolve("books") + "\"\ninstance = \"agente-1\"\nwrite_s = 3600\n",
                Config.fromJson(fixture.config)));
        sendRequests(2, "pay");
        fixture.agent.stop();
        assertEquals(2, total(readLedger().ledger(), "pay").requests());
    }

    @Test
    void ledgerHeldByAnotherProcessIsAwaitedWithoutLosingUsage() throws Exception {
        LedgerStore other =
                LedgerStore.open(new DirectoryDisk(folder.resolve("books")), Store.Options.DEFAULTS, "agente-1");
        fixture.start(ledgerExtensions(""));
        sendRequests(2, "lookup");
        Thread.sleep(400); // several attempts to write
        assertEquals(0, readLedger().ownEntries());
        other.close();
        AgentFixture.await(() -> {
            try {
                return total(readLedger().ledger(), "lookup").requests() == 2;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    @Test
    void unusableLedgerStopsTheStartWithOneLine() throws Exception {
        LedgerStore.open(new DirectoryDisk(folder.resolve("books")), Store.Options.DEFAULTS, "agente-2")
                .close();
        IOException e = assertThrows(IOException.class, () -> fixture.start(ledgerExtensions("")));
        assertEquals(
                "ledger " + folder.resolve("books") + ": ledger store belongs to instance agente-2, not to agente-1",
                e.getMessage());
        Path keys = folder.resolve("keys");
        Files.writeString(keys, "1 00\n");
        assertThrows(IOException.class, () -> fixture.start(ledgerExtensions("keys = \"" + keys + "\"\n")));
        assertThrows(TomlException.class, () -> ledgerExtensions("disk_mb = 0\n"));
        assertThrows(TomlException.class, () -> ledgerExtensions("folders = 1\n"));
    }
}
