package gatefront.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.net.VirtualHost;
import gatefront.rehearsal.registry.ConsulStandIn;
import gatefront.rehearsal.registry.RegistryStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The registry contract with Consul, and the behaviour specific to Consul. */
class ConsulConnectorTest extends RegistryContract {
    private String token;
    private String service;

    @Override
    RegistrySettings.Kind kind() {
        return RegistrySettings.Kind.CONSUL;
    }

    @Override
    RegistryStandIn createMember(VirtualHost host) {
        return new ConsulStandIn(host, () -> store);
    }

    @Override
    RegistrySettings settings() {
        return new RegistrySettings(
                kind(),
                addresses(),
                PREFIX,
                true,
                null,
                null,
                token,
                service,
                RegistrySettings.Reads.USUAL,
                limits(),
                null);
    }

    @Test
    void tokenIsSentAndReadsFailWithoutIt() throws Exception {
        put("nodos/a", "1");
        members.forEach(member -> member.token("s3cret"));
        token = "s3cret";
        follow();
        assertSameAsStore();
        members.forEach(member -> member.token("another"));
        members.forEach(RegistryStandIn::closeConnections);
        put("nodos/a", "2");
        advance(3 * SECOND);
        assertEquals("1", knownValue("nodos/a"));
        assertTrue(
                logLines.stream().anyMatch(line -> line.contains("answer 403, the token has no right to oaxaca/")),
                logLines.toString());
        assertTrue(logLines.stream().noneMatch(line -> line.contains("s3cret")), "secrets are not logged");
    }

    /** A check that turns critical changes no index of its instance; the change must still be reported. */
    @Test
    void serviceHealthGivesAServerList() throws Exception {
        service = "cuentas";
        store.put("cuentas/s-1", "3000 a passing");
        follow();
        assertEquals(
                "{\"address\":\"127.0.0.1:3000\",\"zone\":\"a\",\"type\":\"small\",\"group\":0,"
                        + "\"status\":\"Ready\",\"weight\":2.0,\"since_ms\":0}",
                knownValue("nodos/s-1"));
        store.put("cuentas/s-1", "3000 a critical");
        notifyMembers();
        advance(300 * MS);
        assertTrue(knownValue("nodos/s-1").contains("\"status\":\"Terminating\""), knownValue("nodos/s-1"));
        store.delete("cuentas/s-1");
        notifyMembers();
        advance(300 * MS);
        assertEquals(0, client.follower().entries().size());
    }

    /** A partitioned member answers from its old data and says so in its headers; another member must be used. */
    @Test
    void memberWithoutALeaderIsNotTrusted() throws Exception {
        put("nodos/a", "1");
        follow();
        for (RegistryStandIn member : members) {
            ((ConsulStandIn) member).leaderContact(false, 0);
        }
        put("nodos/a", "2");
        advance(3 * SECOND);
        assertEquals("1", knownValue("nodos/a"));
        for (RegistryStandIn member : members) {
            // Longer than the time after which entries are stale.
            ((ConsulStandIn) member).leaderContact(true, 16_000);
        }
        advance(3 * SECOND);
        assertEquals("1", knownValue("nodos/a"));
        ((ConsulStandIn) members.get(1)).leaderContact(true, 20);
        advance(5 * SECOND);
        assertSameAsStore();
        assertTrue(logLines.stream().anyMatch(line -> line.contains("it knows no leader")), logLines.toString());
        assertTrue(logLines.stream().anyMatch(line -> line.contains("not heard of its leader for 16000 ms")));
    }

    /**
     * According to its documentation, an index below 1 is an error. Keys outside the prefix do not belong to the
     * request.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "0|[]",
                "90|[{\"Key\":\"else/b\",\"Value\":\"\",\"CreateIndex\":1,\"ModifyIndex\":2}]",
                "90|[{\"Key\":\"oaxaca/b\",\"Value\":\"\",\"CreateIndex\":5,\"ModifyIndex\":2}]",
                "90|[{\"Key\":\"oaxaca/b\",\"Value\":\"\",\"CreateIndex\":5,\"ModifyIndex\":91}]"
            })
    void invalidIndexOrKeyListIsRejected(String answer) throws Exception {
        put("nodos/a", "1");
        follow();
        setMembersDown(true);
        String body = answer.split("\\|")[1];
        startListenersAnswering("HTTP/1.1 200 OK\r\nX-Consul-Index: " + answer.split("\\|")[0] + "\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
        advance(5 * SECOND);
        assertEquals("1", knownValue("nodos/a"));
        assertEquals(1, client.follower().entries().size());
        assertTrue(logLines.stream().anyMatch(line -> line.contains("unusable answer")), logLines.toString());
    }

    /** Consul has one index for all keys of a prefix; without changes, one blocking query is open at a time. */
    @Test
    void idleAgentsCallSeldom() throws Exception {
        put("nodos/a", "1");
        follow();
        int before = members.stream().mapToInt(RegistryStandIn::calls).sum();
        advance(60 * SECOND);
        int calls = members.stream().mapToInt(RegistryStandIn::calls).sum() - before;
        assertTrue(calls >= 15 && calls <= 21, "calls in 60 s with a wait time of 3 s: " + calls);
    }
}
