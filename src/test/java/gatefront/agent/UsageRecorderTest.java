package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
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

    private static void setTenants(ObjectNode config, String... names) {
        ArrayNode tenants = ((ObjectNode) config.get("settings")).putArray("realms");
        for (String name : names) {
            tenants.addObject().put("name", name).put("quota-per-s", 50.0).put("fraction", 0.25);
        }
    }

    private Socket beginRequest(String request) throws IOException {
        Socket client = fixture.dial();
        ScriptedPeer.write(client, request.substring(0, request.length() - 10));
        return client;
    }

    private String requestOf(String tenant) {
        return fixture.request("pay", 8_000, "0123456789").replace("\r\n\r\n", "\r\nTenant: " + tenant + "\r\n\r\n");
    }

    /** Guards against use that is booked to another tenant, or lost with all that follows, after a reload. */
    @Test
    @Timeout(60)
    void usageIsBookedToTheTenantAndWorthThatItBeganUnder() throws Exception {
        setTenants(fixture.config, "mitla", "etla");
        fixture.start(Extensions.parse(
                "x.toml",
                "[ledger]\nfolder = \"" + folder.resolve("books") + "\"\ninstance = \"agente-1\"\nwrite_s = 3600\n",
                Config.fromJson(fixture.config)));
        assertEquals(
                200, AgentFixture.exchange(fixture.dial(), requestOf("etla")).status());
        Socket halfSent = beginRequest(requestOf("etla"));
        AgentFixture.awaitInputRead(fixture.agent);
        ObjectNode changed = fixture.config.deepCopy();
        setTenants(changed, "tlacolula");
        ((ObjectNode) changed.get("settings").get("classes").get(1)).put("worth", 9.0);
        fixture.agent.reload(() -> Config.fromJson(changed));
        fixture.agent.loop().submit(() -> {}).sync();
        ScriptedPeer.write(halfSent, "0123456789");
        assertEquals(200, ScriptedPeer.read(halfSent.getInputStream()).status());
        assertEquals(
                200,
                AgentFixture.exchange(fixture.dial(), requestOf("tlacolula")).status());
        fixture.agent.stop();
        Map<String, UsageAmounts> byTenant = new HashMap<>();
        Ledger ledger = readLedger().ledger();
        for (long period : ledger.periods()) {
            ledger.totals(period)
                    .forEach((cell, amounts) -> byTenant.merge(cell.tenant(), amounts, UsageAmounts::plus));
        }
        assertEquals(Set.of("etla", "tlacolula"), byTenant.keySet());
        assertEquals(2, byTenant.get("etla").requests());
        assertEquals(2 * 4_000_000, byTenant.get("etla").worth());
        assertEquals(9_000_000, byTenant.get("tlacolula").worth());
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
