package gatefront.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.membership.Endpoint;
import gatefront.policy.Balancer.Phase;
import gatefront.policy.Balancer.Server;

/** JSON form of a server in the platform's server list, also used by the agent's other sources. */
public final class EndpointJson {
    private EndpointJson() {}

    /** Encodes a server; {@link #decode} restores an equal one. */
    public static ObjectNode encode(Endpoint endpoint, Config config) {
        Server server = endpoint.server();
        return JsonNodeFactory.instance
                .objectNode()
                .put("name", endpoint.name())
                .put(
                        "address",
                        endpoint.address().getAddress().getHostAddress() + ":"
                                + endpoint.address().getPort())
                .put("zone", config.zones().get(server.zone()))
                .put("type", server.kind() < 0 ? "" : config.kinds().get(server.kind()))
                .put("group", server.cell())
                .put(
                        "status",
                        switch (server.phase()) {
                            case READY -> "Ready";
                            case DRAINING -> "Terminating";
                            case GONE -> "Gone";
                        })
                .put("weight", server.weight())
                .put("since_ms", server.startedAt() / 1000);
    }

    /**
     * Decodes a server.
     *
     * @param entry the JSON
     * @param name name of the server; null if it is part of the entry
     * @param config configuration with the names of zones and machine types
     * @return the server
     * @throws IllegalArgumentException if the entry is invalid
     */
    public static Endpoint decode(JsonNode entry, String name, Config config) {
        String serverName = name == null ? entry.path("name").asText() : name;
        int zone = config.zones().indexOf(entry.path("zone").asText());
        if (serverName.isEmpty() || zone < 0) {
            throw new IllegalArgumentException("name or zone of a server: " + entry);
        }
        Phase phase =
                switch (entry.path("status").asText()) {
                    case "Ready" -> Phase.READY;
                    case "Terminating" -> Phase.DRAINING;
                    case "Gone" -> Phase.GONE;
                    default -> throw new IllegalArgumentException("status of a server: " + entry);
                };
        return new Endpoint(
                new Server(
                        Config.id(serverName),
                        zone,
                        entry.path("group").asInt(),
                        config.kinds().indexOf(entry.path("type").asText()),
                        phase,
                        entry.path("weight").asDouble(1),
                        1000 * entry.path("since_ms").asLong()),
                serverName,
                Config.address(entry.path("address").asText()));
    }
}
