package gatefront.config;

import com.fasterxml.jackson.databind.JsonNode;
import gatefront.membership.Endpoint;
import gatefront.policy.Balancer.Phase;
import gatefront.policy.Balancer.Server;

/** One server in the form of the platform's server list, which sources of our own use too. */
public final class EndpointForm {
    private EndpointForm() { }

    /**
     * Takes an entry.
     *
     * @param entry its JSON
     * @param name of the server; null if the entry has it
     * @param config knows the zones and kinds
     * @return the server
     * @throws IllegalArgumentException if it makes no sense
     */
    public static Endpoint decode(JsonNode entry, String name, Config config) {
        String called = name == null ? entry.path("name").asText() : name;
        int zone = config.zones().indexOf(entry.path("zone").asText());
        if (called.isEmpty() || zone < 0) {
            throw new IllegalArgumentException("name or zone of a server: " + entry);
        }
        Phase phase = switch (entry.path("status").asText()) {
            case "Ready" -> Phase.READY;
            case "Terminating" -> Phase.DRAINING;
            case "Gone" -> Phase.GONE;
            default -> throw new IllegalArgumentException("status of a server: " + entry);
        };
        return new Endpoint(new Server(Config.id(called), zone, entry.path("group").asInt(),
            config.kinds().indexOf(entry.path("type").asText()), phase, entry.path("weight").asDouble(1),
            1000 * entry.path("since_ms").asLong()), called, Config.address(entry.path("address").asText()));
    }
}
