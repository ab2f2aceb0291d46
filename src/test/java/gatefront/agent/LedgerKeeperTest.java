package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.bookkeeping.Books;
import gatefront.config.Config;
import gatefront.ledger.Amounts;
import gatefront.ledger.Ledger;
import gatefront.storage.FolderDisk;
import gatefront.storage.Keys;
import gatefront.storage.Store;
import gatefront.storage.Verify;
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
class LedgerKeeperTest {
    @TempDir
    private Path folder;

    private Stage stage;

    @BeforeEach
    void set() throws IOException {
        stage = new Stage();
        stage.server((message, socket) -> Peer.answer(socket, 200, "", "served"));
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

    private Books.Look look() throws IOException {
        Books.Look[] look = new Books.Look[1];
        Verify verify =
                Verify.of(FolderDisk.existing(folder.resolve("books")), Keys.NONE, Books.looking(at -> look[0] = at));
        assertEquals(null, verify.damage());
        return look[0];
    }

    private static Amounts all(Ledger ledger, String type) {
        Amounts sum = Amounts.NONE;
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
                    Stage.exchange(stage.dial(), stage.request(type, 8_000, type.equals("lookup") ? "" : "abcd"))
                            .status());
        }
    }

    @Test
    void whatWasServedIsWrittenWhileItRunsAndAtItsEnd() throws Exception {
        stage.start(ledger(""));
        ask(3, "lookup");
        Stage.await(() -> {
            try {
                return look() != null && all(look().ledger(), "lookup").requests() == 3;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        ask(2, "pay");
        stage.agent.stop();
        Ledger ledger = look().ledger();
        Amounts pay = all(ledger, "pay");
        assertEquals(2, pay.requests(), "also what was served just before the end");
        assertEquals(2 * ("abcd".length() + "served".length()), pay.bytes());
        assertTrue(pay.work() > 0);
        assertEquals(3 * "served".length(), all(ledger, "lookup").bytes());
        for (long period : ledger.periods()) {
            assertEquals(
                    List.of(Ledger.Part.WHOLE),
                    List.copyOf(ledger.standing(period, List.of()).values()));
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
        Books other = Books.open(new FolderDisk(folder.resolve("books")), Store.Options.USUAL, "agente-1");
        stage.start(ledger(""));
        ask(2, "lookup");
        Thread.sleep(400); // several tries to write
        assertEquals(0, look().made());
        other.close();
        Stage.await(() -> {
            try {
                return all(look().ledger(), "lookup").requests() == 2;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    @Test
    void booksThatCannotBeUsedStopTheStartInOneLine() throws Exception {
        Books.open(new FolderDisk(folder.resolve("books")), Store.Options.USUAL, "agente-2")
                .close();
        IOException e = assertThrows(IOException.class, () -> stage.start(ledger("")));
        assertEquals(
                "ledger " + folder.resolve("books") + ": these are the books of agente-2, not of agente-1",
                e.getMessage());
        Path keys = folder.resolve("keys");
        Files.writeString(keys, "1 00\n");
        assertThrows(IOException.class, () -> stage.start(ledger("keys = \"" + keys + "\"\n")));
        assertThrows(TomlException.class, () -> ledger("disk_mb = 0\n"));
        assertThrows(TomlException.class, () -> ledger("folders = 1\n"));
    }
}
