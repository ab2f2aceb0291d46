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
 * Converts the instances in a health response of Consul to entries, as if each were a key below {@code nodos/}: the id
 * is the name, and the service's metadata holds zone, type and group. An instance with a critical check gets no new
 * requests, as if it were draining; the agent's own probes decide whether it is to be ejected.
 */
final class ConsulHealth {
    private ConsulHealth() {}

    static List<KeyEntry> decode(JsonNode root, String prefix, long index) {
        if (root == null || !root.isArray()) {
            throw new IllegalArgumentException("no list of instances");
        }
        List<KeyEntry> entries = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (JsonNode item : root) {
            JsonNode service = item.path("Service");
            String id = service.path("ID").asText();
            long createRevision = service.path("CreateIndex").asLong();
            long modRevision = service.path("ModifyIndex").asLong();
            if (!ids.add(id) || !id.matches("[A-Za-z0-9._~-]{1,128}") || createRevision < 1 || modRevision > index) {
                throw new IllegalArgumentException("id or index of the instance \"" + id + '"');
            }
            entries.add(new KeyEntry(
                    prefix + "nodos/" + id, nodoValue(item, service).toString(), createRevision, modRevision));
        }
        return entries;
    }

    private static ObjectNode nodoValue(JsonNode item, JsonNode service) {
        JsonNode meta = service.path("Meta");
        String address = service.path("Address").asText().isEmpty()
                ? item.path("Node").path("Address").asText()
                : service.path("Address").asText();
        boolean critical = false;
        for (JsonNode check : item.path("Checks")) {
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
