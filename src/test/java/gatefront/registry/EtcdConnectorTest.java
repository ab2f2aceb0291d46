package gatefront.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.net.VirtualHost;
import gatefront.rehearsal.registry.EtcdStandIn;
import gatefront.rehearsal.registry.RegistryStandIn;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The contract for etcd, and what only etcd has. */
class EtcdConnectorTest extends RegistryContract {
    private String password;

    @Override
    RegistrySettings.Kind kind() {
        return RegistrySettings.Kind.ETCD;
    }

    @Override
    RegistryStandIn member(VirtualHost host) {
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
                bounds(),
                null);
    }

    /** From now on members want this password, and give a token for it. */
    private void letIn(String wanted) {
        members.forEach(each -> {
            ((EtcdStandIn) each).password(wanted);
            each.token("token-1");
        });
    }

    private EtcdStandIn etcd(int i) {
        return (EtcdStandIn) members.get(i);
    }

    private void keys(int n, String value) {
        Map<String, String> all = new TreeMap<>();
        for (int i = 0; i < n; i++) {
            all.put(PREFIX + "nodos/" + i, value);
        }
        store.commit(all);
        news();
    }

    @Test
    void aReadInPagesIsOfOneRevisionThoughKeysChangeMeanwhile() throws Exception {
        keys(3_500, "before");
        int[] times = new int[1];
        members.forEach(each -> ((EtcdStandIn) each).beforeEachPage(() -> {
            times[0]++;
            store.put(PREFIX + "nodos/" + (3_000 + times[0]), "meanwhile");
        }));
        follow();
        run(SECOND);
        assertEquals(3, times[0]);
        same();
        once();
    }

    @Test
    void aReadWhoseRevisionIsCompactedBeginsAgain() throws Exception {
        keys(2_500, "before");
        int[] times = new int[1];
        members.forEach(each -> ((EtcdStandIn) each).beforeEachPage(() -> {
            if (++times[0] < 3) {
                store.put(PREFIX + "nodos/1", "meanwhile " + times[0]);
                store.compact(store.revision());
            }
        }));
        follow();
        run(SECOND);
        same();
    }

    @Test
    void changesInFragmentsAndToldTwiceAreAppliedOnce() throws Exception {
        members.forEach(each -> ((EtcdStandIn) each).maxEventsPerMessage(3).repeatEvents(true));
        follow();
        for (int i = 0; i < 10; i++) {
            keys(10, "round " + i);
            run(50 * MS);
        }
        run(SECOND);
        same();
        once();
        assertEquals(100, told.size());
    }

    @Test
    void aTokenThatExpiresIsRenewedAndNothingIsMissed() throws Exception {
        letIn("clave");
        password = "clave";
        put("nodos/a", "1");
        follow();
        same();
        members.forEach(each -> each.token("token-2"));
        members.forEach(RegistryStandIn::closeConnections);
        run(100 * MS); // else the old watch would still tell it
        put("nodos/a", "2");
        run(3 * SECOND);
        same();
        once();
        assertTrue(lines.stream().noneMatch(each -> each.contains("clave") || each.contains("token-")));
    }

    @Test
    void aWrongPasswordIsSaidAndNotTriedWithoutEnd() throws Exception {
        letIn("clave");
        password = "otra";
        put("nodos/a", "1");
        follow();
        run(10 * SECOND);
        assertEquals(0, client.follower().entries().size());
        assertTrue(lines.stream().anyMatch(each -> each.contains("user agente is not let in")), lines.toString());
        assertTrue(lines.size() < 60, lines.size() + " lines in 10 s");
    }

    /** A member that answers nothing new is asked how far it is, and its answer keeps the state fresh. */
    @Test
    void aQuietWatchIsAskedHowFarItIs() throws Exception {
        put("nodos/a", "1");
        follow();
        store.put("elsewhere/b", "2");
        run(60 * SECOND);
        assertEquals(store.revision(), client.follower().revision());
        assertTrue(client.follower().age(time.nanoTime() / 1000) < 3_000_000);
        assertEquals(1, members.stream().mapToInt(RegistryStandIn::watches).sum(), "one watch for all of it: " + lines);
    }
}
