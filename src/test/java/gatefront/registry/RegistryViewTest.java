package gatefront.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.config.Config;
import gatefront.membership.ServerOverride;
import gatefront.policy.Balancer.Phase;
import gatefront.registry.follower.KeyChange;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Decoding of values, and the handling of invalid ones. */
class RegistryViewTest {
    private static final String NODO = "{'v':%d,'address':'127.0.0.1:3000','zone':'a','type':'small','group':0,"
            + "'status':'%s','weight':1.0,'since_ms':0,'colour':'unknown here'}";

    private final List<String> logLines = new ArrayList<>();
    private final RegistryView view =
            new RegistryView(Config.read(Path.of("src/test/resources/config.json")), "p/", logLines::add);
    private long revision;

    private RegistryView.Update put(String key, String value) {
        revision++;
        return view.apply(
                List.of(new KeyChange("p/" + key, value == null ? null : value.replace('\'', '"'), 1, revision)));
    }

    private Phase phase() {
        return view.endpoints().get(0).server().phase();
    }

    @Test
    void serverOfUnknownVersionLeavesThePreviousValue() {
        put("nodos/s-1", NODO.formatted(1, "Ready"));
        assertEquals(
                List.of(), put("nodos/s-1", NODO.formatted(2, "Terminating")).servers());
        assertEquals(Phase.READY, phase());
        assertEquals(1, logLines.size(), logLines.toString());
        assertTrue(
                logLines.get(0).contains("p/nodos/s-1 at revision 2")
                        && logLines.get(0).contains("version 2"),
                logLines.get(0));
        put("nodos/s-1", NODO.formatted(1, "Terminating"));
        assertEquals(Phase.DRAINING, phase());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{'weight_factor':0}",
                "{'weight_factor':-1}",
                "{'weight_factor':101}",
                "{'weight_factor':'1'}",
                "{'drain':1}",
                "{'v':2,'drain':true}",
                "[]",
                "{",
                "",
                "7"
            })
    void invalidPolicyLeavesThePreviousValue(String value) {
        assertTrue(put("policies/nodos/s-1", "{'weight_factor':0.5}").policiesChanged());
        assertFalse(put("policies/nodos/s-1", value).policiesChanged());
        assertEquals(Map.of("s-1", new ServerOverride(false, 0.5)), view.serverPolicies());
        assertEquals(1, logLines.size(), logLines.toString());
        assertTrue(put("policies/nodos/s-1", null).policiesChanged());
        assertEquals(Map.of(), view.serverPolicies());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "{'in_progress':-1}",
                "{'in_progress':1.5}",
                "{'in_progress':1000001}",
                "{'in_progress':'4'}",
                "{'in_progress':99999999999}",
                "{'v':2,'in_progress':1}"
            })
    void invalidLimitLeavesThePreviousValue(String value) {
        assertTrue(put("policies/clases/pay", "{'in_progress':40}").limitsChanged());
        assertFalse(put("policies/clases/pay", value).limitsChanged());
        assertEquals(Map.of(1, 40), view.classLimits());
        assertEquals(1, logLines.size(), logLines.toString());
        assertTrue(put("policies/clases/pay", null).limitsChanged());
        assertEquals(Map.of(), view.classLimits());
    }

    @Test
    void unknownZoneOrClassIsIgnored() {
        put("policies/salas/nowhere", "{'drain':true}");
        put("policies/clases/nothing", "{'in_progress':0}");
        assertEquals(Map.of(), view.zonePolicies());
        assertEquals(Map.of(), view.classLimits());
        put("policies/salas/b", "{'drain':true}");
        assertEquals(Map.of(1, new ServerOverride(true, 1)), view.zonePolicies());
    }
}
