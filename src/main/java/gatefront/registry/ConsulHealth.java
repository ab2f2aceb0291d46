package gatefront.registry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.registry.follower.KeyEntry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The instances of a service as Consul's health has them, as if each were a key below {@code nodos/}: its id is the
 * name, its meta data hold zone, kind and group. One with a check that is critical gets nothing new, as if it drained:
 * whether it is to be removed is found by the agent's own probes.
 */
final class ConsulHealth {
    private ConsulHealth() {}

    static List<KeyEntry> decode(JsonNode root, String prefix, long index) {
        if (root == null || !root.isArray()) {
            throw new IllegalArgumentException("no list of instances");
        }
        List<KeyEntry> entries = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (JsonNode each : root) {
            JsonNode service = each.path("Service");
            String id = service.path("ID").asText();
            long created = service.path("CreateIndex").asLong();
            long modified = service.path("ModifyIndex").asLong();
            if (!ids.add(id) || !id.matches("[A-Za-z0-9._~-]{1,128}") || created < 1 || modified > index) {
                throw new IllegalArgumentException("id or index of the instance \"" + id + '"');
            }
            entries.add(
                    new KeyEntry(prefix + "nodos/" + id, value(each, service).toString(), created, modified));
        }
        return entries;
    }

    private static ObjectNode value(JsonNode each, JsonNode service) {
        JsonNode meta = service.path("Meta");
        String address = service.path("Address").asText().isEmpty()
                ? each.path("Node").path("Address").asText()
                : service.path("Address").asText();
        boolean critical = false;
        for (JsonNode check : each.path("Checks")) {
            critical |= check.path("Status").asText().equals("critical");
        }
        return JsonNodeFactory.instance
                .objectNode()
                .put("address", address + ":" + service.path("Port").asInt())
                .put("zone", meta.path("zone").asText())
                .put("type", meta.path("type").asText())
                .put("group", meta.path("group").asInt())
                .put("status", critical ? "Terminating" : "Ready")
                .put("weight", service.path("Weights").path("Passing").asDouble(1))
                .put("since_ms", meta.path("since_ms").asLong());
    }
}
