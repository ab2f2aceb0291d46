package gatefront.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.net.VirtualHost;
import gatefront.rehearsal.registry.EtcdStandIn;
import gatefront.rehearsal.registry.RegistryStandIn;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The registry contract with etcd, and the behaviour specific to etcd. */
class EtcdConnectorTest extends RegistryContract {
    private String password;

    @Override
    RegistrySettings.Kind kind() {
        return RegistrySettings.Kind.ETCD;
    }

    @Override
    RegistryStandIn createMember(VirtualHost host) {
        return new EtcdStandIn(host, () -> store);
    }

    @Override
    RegistrySettings settings() {
        return new RegistrySettings(
                kind(),
                addresses(),
                PREFIX,
                true,
                password == null ? null : "agente",
                password,
                null,
                null,
                RegistrySettings.Reads.USUAL,
                limits(),
                null);
    }

    /** Makes the members require a password, for which they issue a token. */
    private void requirePassword(String password) {
        members.forEach(member -> {
            ((EtcdStandIn) member).password(password);
            member.token("token-1");
        });
    }

    private EtcdStandIn etcdMember(int i) {
        return (EtcdStandIn) members.get(i);
    }

    private void commitKeys(int n, String value) {
        Map<String, String> all = new TreeMap<>();
        for (int i = 0; i < n; i++) {
            all.put(PREFIX + "nodos/" + i, value);
        }
        store.commit(all);
        notifyMembers();
    }

    @Test
    void pagedReadIsOfOneRevisionWhileKeysChange() throws Exception {
        commitKeys(3_500, "before");
        int[] pageBreaks = new int[1];
        members.forEach(member -> ((EtcdStandIn) member).beforeEachPage(() -> {
            pageBreaks[0]++;
            store.put(PREFIX + "nodos/" + (3_000 + pageBreaks[0]), "meanwhile");
        }));
        follow();
        advance(SECOND);
        assertEquals(3, pageBreaks[0]);
        assertSameAsStore();
        assertReportedOnceInOrder();
    }

    @Test
    void readIsRepeatedWhenItsRevisionIsCompacted() throws Exception {
        commitKeys(2_500, "before");
        int[] pageBreaks = new int[1];
        members.forEach(member -> ((EtcdStandIn) member).beforeEachPage(() -> {
            if (++pageBreaks[0] < 3) {
                store.put(PREFIX + "nodos/1", "meanwhile " + pageBreaks[0]);
                store.compact(store.revision());
            }
        }));
        follow();
        advance(SECOND);
        assertSameAsStore();
    }

    @Test
    void fragmentedAndRepeatedChangesAreAppliedOnce() throws Exception {
        members.forEach(member -> ((EtcdStandIn) member).maxEventsPerMessage(3).repeatEvents(true));
        follow();
        for (int i = 0; i < 10; i++) {
            commitKeys(10, "round " + i);
            advance(50 * MS);
        }
        advance(SECOND);
        assertSameAsStore();
        assertReportedOnceInOrder();
        assertEquals(100, reported.size());
    }

    @Test
    void expiredTokenIsRenewedWithoutLosingChanges() throws Exception {
        requirePassword("clave");
        password = "clave";
        put("nodos/a", "1");
        follow();
        assertSameAsStore();
        members.forEach(member -> member.token("token-2"));
        members.forEach(RegistryStandIn::closeConnections);
        // Waits until the connections are closed; otherwise the old watch would still report the change.
        advance(100 * MS);
        put("nodos/a", "2");
        advance(3 * SECOND);
        assertSameAsStore();
        assertReportedOnceInOrder();
        assertTrue(logLines.stream().noneMatch(line -> line.contains("clave") || line.contains("token-")));
    }

    @Test
    void wrongPasswordIsLoggedAndRetriedAtALimitedRate() throws Exception {
        requirePassword("clave");
        password = "otra";
        put("nodos/a", "1");
        follow();
        advance(10 * SECOND);
        assertEquals(0, client.follower().entries().size());
        assertTrue(logLines.stream().anyMatch(line -> line.contains("user agente is not let in")), logLines.toString());
        assertTrue(logLines.size() < 60, logLines.size() + " lines in 10 s");
    }

    /** Progress is requested from an idle watch, and the response keeps the entries from becoming stale. */
    @Test
    void progressIsRequestedOnAnIdleWatch() throws Exception {
        put("nodos/a", "1");
        follow();
        store.put("elsewhere/b", "2");
        advance(60 * SECOND);
        assertEquals(store.revision(), client.follower().revision());
        assertTrue(client.follower().unconfirmedMicros(time.nanoTime() / 1000) < 3_000_000);
        assertEquals(1, members.stream().mapToInt(RegistryStandIn::watches).sum(), "one watch in total: " + logLines);
    }
}
