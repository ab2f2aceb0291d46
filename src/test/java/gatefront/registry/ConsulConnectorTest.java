package gatefront.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.net.VirtualHost;
import gatefront.rehearsal.registry.ConsulStandIn;
import gatefront.rehearsal.registry.RegistryStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The contract for Consul, and what only Consul has. */
class ConsulConnectorTest extends RegistryContract {
    private String token;
    private String service;

    @Override
    RegistrySettings.Kind kind() {
        return RegistrySettings.Kind.CONSUL;
    }

    @Override
    RegistryStandIn member(VirtualHost host) {
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
                bounds(),
                null);
    }

    @Test
    void theTokenIsToldAndWithoutItNothingIsRead() throws Exception {
        put("nodos/a", "1");
        members.forEach(each -> each.token("s3cret"));
        token = "s3cret";
        follow();
        same();
        members.forEach(each -> each.token("another"));
        members.forEach(RegistryStandIn::closeConnections);
        put("nodos/a", "2");
        run(3 * SECOND);
        assertEquals("1", known("nodos/a"));
        assertTrue(
                lines.stream().anyMatch(each -> each.contains("answer 403, the token has no right to oaxaca/")),
                lines.toString());
        assertTrue(lines.stream().noneMatch(each -> each.contains("s3cret")), "secrets are not logged");
    }

    /** The instances of a service: a check that turns critical changes no index of the instance, and still is told. */
    @Test
    void theHealthOfAServiceIsAListToo() throws Exception {
        service = "cuentas";
        store.put("cuentas/s-1", "3000 a passing");
        follow();
        assertEquals(
                "{\"address\":\"127.0.0.1:3000\",\"zone\":\"a\",\"type\":\"small\",\"group\":0,"
                        + "\"status\":\"Ready\",\"weight\":2.0,\"since_ms\":0}",
                known("nodos/s-1"));
        store.put("cuentas/s-1", "3000 a critical");
        news();
        run(300 * MS);
        assertTrue(known("nodos/s-1").contains("\"status\":\"Terminating\""), known("nodos/s-1"));
        store.delete("cuentas/s-1");
        news();
        run(300 * MS);
        assertEquals(0, client.follower().entries().size());
    }

    /** A member that was cut off answers from what it had: it says so, and another one is asked. */
    @Test
    void aMemberThatHasLostItsLeaderIsNotBelieved() throws Exception {
        put("nodos/a", "1");
        follow();
        for (RegistryStandIn each : members) {
            ((ConsulStandIn) each).leaderContact(false, 0);
        }
        put("nodos/a", "2");
        run(3 * SECOND);
        assertEquals("1", known("nodos/a"));
        for (RegistryStandIn each : members) {
            ((ConsulStandIn) each).leaderContact(true, 16_000); // longer than a state may be unconfirmed
        }
        run(3 * SECOND);
        assertEquals("1", known("nodos/a"));
        ((ConsulStandIn) members.get(1)).leaderContact(true, 20);
        run(5 * SECOND);
        same();
        assertTrue(lines.stream().anyMatch(each -> each.contains("it knows no leader")), lines.toString());
        assertTrue(lines.stream().anyMatch(each -> each.contains("not heard of its leader for 16000 ms")));
    }

    /** As documented an index below 1 is a fault; and a list of other keys is no answer to what was asked. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "0|[]",
                "90|[{\"Key\":\"else/b\",\"Value\":\"\",\"CreateIndex\":1,\"ModifyIndex\":2}]",
                "90|[{\"Key\":\"oaxaca/b\",\"Value\":\"\",\"CreateIndex\":5,\"ModifyIndex\":2}]",
                "90|[{\"Key\":\"oaxaca/b\",\"Value\":\"\",\"CreateIndex\":5,\"ModifyIndex\":91}]"
            })
    void anIndexOrAListThatCannotBeIsNotBelieved(String answer) throws Exception {
        put("nodos/a", "1");
        follow();
        down(true);
        String body = answer.split("\\|")[1];
        liars("HTTP/1.1 200 OK\r\nX-Consul-Index: " + answer.split("\\|")[0] + "\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body);
        run(5 * SECOND);
        assertEquals("1", known("nodos/a"));
        assertEquals(1, client.follower().entries().size());
        assertTrue(lines.stream().anyMatch(each -> each.contains("unusable answer")), lines.toString());
    }

    /** Consul has one index for all keys of a prefix; where nothing changes, one read waits at a time. */
    @Test
    void quietAgentsAskSeldom() throws Exception {
        put("nodos/a", "1");
        follow();
        int before = members.stream().mapToInt(RegistryStandIn::calls).sum();
        run(60 * SECOND);
        int calls = members.stream().mapToInt(RegistryStandIn::calls).sum() - before;
        assertTrue(calls >= 15 && calls <= 21, "calls in 60 s, each waits 3 s: " + calls);
    }
}
