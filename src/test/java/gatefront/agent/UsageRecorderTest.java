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

/** What an agent has served stands in its books, on sockets and a real folder. */
class UsageRecorderTest {
    @TempDir
    private Path folder;

    private AgentFixture stage;

    @BeforeEach
    void set() throws IOException {
        stage = new AgentFixture();
        stage.server((message, socket) -> ScriptedPeer.answer(socket, 200, "", "served"));
    }

    @AfterEach
    void end() throws IOException {
        stage.close();
    }

    private Extensions ledger(String more) throws TomlException {
        return Extensions.parse(
                "x.toml",
                "[ledger]\nfolder = \"" + folder.resolve("books") + "\"\n"
                        + "instance = \"agente-1\"\nwrite_s = 0.1\nperiod_s = 86400\n" + more,
                Config.of(stage.config));
    }

    private LedgerStore.Contents look() throws IOException {
        LedgerStore.Contents[] look = new LedgerStore.Contents[1];
        StoreVerification verify = StoreVerification.of(
                DirectoryDisk.existing(folder.resolve("books")),
                SigningKeys.NONE,
                LedgerStore.contentsReader(at -> look[0] = at));
        assertEquals(null, verify.damage());
        return look[0];
    }

    private static UsageAmounts all(Ledger ledger, String type) {
        UsageAmounts sum = UsageAmounts.ZERO;
        for (long period : ledger.periods()) {
            for (var each : ledger.totals(period).entrySet()) {
                sum = each.getKey().type().equals(type) ? sum.plus(each.getValue()) : sum;
            }
        }
        return sum;
    }

    private void ask(int n, String type) throws IOException {
        for (int i = 0; i < n; i++) {
            assertEquals(
                    200,
                    AgentFixture.exchange(stage.dial(), stage.request(type, 8_000, type.equals("lookup") ? "" : "abcd"))
                            .status());
        }
    }

    @Test
    void whatWasServedIsWrittenWhileItRunsAndAtItsEnd() throws Exception {
        stage.start(ledger(""));
        ask(3, "lookup");
        AgentFixture.await(() -> {
            try {
                return look() != null && all(look().ledger(), "lookup").requests() == 3;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        ask(2, "pay");
        stage.agent.stop();
        Ledger ledger = look().ledger();
        UsageAmounts pay = all(ledger, "pay");
        assertEquals(2, pay.requests(), "also what was served just before the end");
        assertEquals(2 * ("abcd".length() + "served".length()), pay.bytes());
        assertTrue(pay.work() > 0);
        assertEquals(3 * "served".length(), all(ledger, "lookup").bytes());
        for (long period : ledger.periods()) {
            assertEquals(
                    List.of(Ledger.PartStatus.COMPLETE),
                    List.copyOf(ledger.partStatuses(period, List.of()).values()));
        }
    }

    @Test
    void whatWasNeverWrittenWhileItRanIsWrittenAtItsEnd() throws Exception {
        stage.start(Extensions.parse(
                "x.toml",
                "[ledger]\nfolder = \"" + folder.resolve("books") + "\"\ninstance = \"agente-1\"\nwrite_s = 3600\n",
                Config.of(stage.config)));
        ask(2, "pay");
        stage.agent.stop();
        assertEquals(2, all(look().ledger(), "pay").requests());
    }

    @Test
    void booksThatAnotherProcessHasAreWaitedForAndNothingIsMissing() throws Exception {
        LedgerStore other =
                LedgerStore.open(new DirectoryDisk(folder.resolve("books")), Store.Options.DEFAULTS, "agente-1");
        stage.start(ledger(""));
        ask(2, "lookup");
        Thread.sleep(400); // several tries to write
        assertEquals(0, look().ownEntries());
        other.close();
        AgentFixture.await(() -> {
            try {
                return all(look().ledger(), "lookup").requests() == 2;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    @Test
    void booksThatCannotBeUsedStopTheStartInOneLine() throws Exception {
        LedgerStore.open(new DirectoryDisk(folder.resolve("books")), Store.Options.DEFAULTS, "agente-2")
                .close();
        IOException e = assertThrows(IOException.class, () -> stage.start(ledger("")));
        assertEquals(
                "ledger " + folder.resolve("books") + ": ledger store belongs to instance agente-2, not to agente-1",
                e.getMessage());
        Path keys = folder.resolve("keys");
        Files.writeString(keys, "1 00\n");
        assertThrows(IOException.class, () -> stage.start(ledger("keys = \"" + keys + "\"\n")));
        assertThrows(TomlException.class, () -> ledger("disk_mb = 0\n"));
        assertThrows(TomlException.class, () -> ledger("folders = 1\n"));
    }
}
