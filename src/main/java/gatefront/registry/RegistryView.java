package gatefront.registry;

import com.fasterxml.jackson.databind.JsonNode;
import gatefront.config.Config;
import gatefront.config.EndpointJson;
import gatefront.membership.Endpoint;
import gatefront.membership.ServerOverride;
import gatefront.registry.follower.KeyChange;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * Decodes the keys of a registry: servers at {@code nodos/NAME}, in the format of the server list; policies that
 * override them at {@code policies/nodos/NAME} and {@code policies/salas/ZONE}; and limits of requests in progress of
 * a class at {@code policies/clases/NAME}. A value that cannot be decoded leaves the last valid one in effect. State:
 * one value for each key, removed with the key.
 */
final class RegistryView {
    private static final String SERVER_PREFIX = "nodos/";
    private static final String SERVER_POLICY_PREFIX = "policies/nodos/";
    private static final String ZONE_POLICY_PREFIX = "policies/salas/";
    private static final String CLASS_LIMIT_PREFIX = "policies/clases/";
    /** The only supported version of the values; a value of another version is not interpreted. */
    private static final int VERSION = 1;

    private static final double MAX_WEIGHT_FACTOR = 100;
    private static final int MAX_CLASS_LIMIT = 1_000_000;

    private final Config config;
    private final String prefix;
    private final Consumer<String> log;
    private final Map<String, Endpoint> servers = new LinkedHashMap<>();
    private final Map<String, ServerOverride> policies = new HashMap<>();
    private final Map<String, Integer> limits = new HashMap<>();

    /**
     * The result of applying changes.
     *
     * @param servers the servers that have changed; those whose key was deleted are marked as gone
     * @param policiesChanged whether any policy of servers or zones has changed
     * @param limitsChanged whether the limit of any class has changed
     */
    record Update(List<Endpoint> servers, boolean policiesChanged, boolean limitsChanged) {}

    RegistryView(Config config, String prefix, Consumer<String> log) {
        this.config = config;
        this.prefix = prefix;
        this.log = log;
    }

    /** Applies changes of keys and returns what they changed. */
    Update apply(List<KeyChange> changes) {
        Map<String, Endpoint> changedServers = new LinkedHashMap<>();
        boolean policiesChanged = false;
        boolean limitsChanged = false;
        for (KeyChange change : changes) {
            String key = change.key().substring(prefix.length());
            try {
                if (key.startsWith(SERVER_PREFIX)) {
                    Endpoint previous = servers.get(key);
                    Endpoint current = change.value() == null
                            ? null
                            : EndpointJson.decode(
                                    parseValue(change.value()), key.substring(SERVER_PREFIX.length()), config);
                    if (current != null) {
                        servers.put(key, current);
                        changedServers.put(key, current);
                    } else if (servers.remove(key) != null) {
                        changedServers.put(key, previous.asGone());
                    }
                } else if (key.startsWith(SERVER_POLICY_PREFIX) || key.startsWith(ZONE_POLICY_PREFIX)) {
                    ServerOverride current = change.value() == null ? null : decodePolicy(parseValue(change.value()));
                    policiesChanged |= !Objects.equals(
                            current, current == null ? policies.remove(key) : policies.put(key, current));
                } else if (key.startsWith(CLASS_LIMIT_PREFIX)) {
                    Integer current = change.value() == null ? null : decodeLimit(parseValue(change.value()));
                    limitsChanged |=
                            !Objects.equals(current, current == null ? limits.remove(key) : limits.put(key, current));
                }
                // Other keys are not meant for this agent.
            } catch (IOException | IllegalArgumentException e) {
                boolean hasPrevious = servers.containsKey(key) || policies.containsKey(key) || limits.containsKey(key);
                log.accept("registry: the value of " + change.key() + " at revision " + change.modRevision()
                        + " is not used, "
                        + (hasPrevious ? "the last good one stays" : "and there is no earlier one")
                        + ": "
                        + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            }
        }
        return new Update(List.copyOf(changedServers.values()), policiesChanged, limitsChanged);
    }

    private static JsonNode parseValue(String value) throws IOException {
        JsonNode root = Config.parseJson(new ByteArrayInputStream(value.getBytes(StandardCharsets.UTF_8)));
        if (!root.isObject()) {
            throw new IllegalArgumentException("it is no JSON object");
        }
        if (root.path("v").asInt(VERSION) != VERSION) {
            throw new IllegalArgumentException("it is of version " + root.path("v") + ", known is " + VERSION);
        }
        return root;
    }

    private static ServerOverride decodePolicy(JsonNode root) {
        JsonNode drain = root.path("drain");
        JsonNode factor = root.path("weight_factor");
        if (!drain.isMissingNode() && !drain.isBoolean()) {
            throw new IllegalArgumentException("drain is to be true or false, not " + drain);
        }
        if (!factor.isMissingNode()
                && !(factor.isNumber() && factor.asDouble() > 0 && factor.asDouble() <= MAX_WEIGHT_FACTOR)) {
            throw new IllegalArgumentException("weight_factor is to be above 0 and at most " + MAX_WEIGHT_FACTOR
                    + ", not " + factor + "; what is to get nothing is drained");
        }
        return new ServerOverride(drain.asBoolean(false), factor.asDouble(1));
    }

    private static int decodeLimit(JsonNode root) {
        JsonNode limit = root.path("in_progress");
        if (!(limit.isNumber()
                && limit.asDouble() == limit.asInt()
                && limit.asInt() >= 0
                && limit.asInt() <= MAX_CLASS_LIMIT)) {
            throw new IllegalArgumentException("in_progress is to be a whole number from 0 to " + MAX_CLASS_LIMIT
                    + ", not " + (limit.isMissingNode() ? "missing" : limit));
        }
        return limit.asInt();
    }

    /** Returns all servers that have a key. */
    List<Endpoint> endpoints() {
        return List.copyOf(servers.values());
    }

    /** Returns the policies of servers, by server name. */
    Map<String, ServerOverride> serverPolicies() {
        Map<String, ServerOverride> result = new HashMap<>();
        policies.forEach((key, policy) -> {
            if (key.startsWith(SERVER_POLICY_PREFIX)) {
                result.put(key.substring(SERVER_POLICY_PREFIX.length()), policy);
            }
        });
        return result;
    }

    /** Returns the policies of zones, by zone number; those of unknown zones are left out. */
    Map<Integer, ServerOverride> zonePolicies() {
        Map<Integer, ServerOverride> result = new HashMap<>();
        policies.forEach((key, policy) -> {
            int zone = key.startsWith(ZONE_POLICY_PREFIX)
                    ? config.zones().indexOf(key.substring(ZONE_POLICY_PREFIX.length()))
                    : -1;
            if (zone >= 0) {
                result.put(zone, policy);
            }
        });
        return result;
    }

    /** Returns the limits of requests in progress, by class index; those of unknown classes are left out. */
    Map<Integer, Integer> classLimits() {
        Map<Integer, Integer> result = new HashMap<>();
        limits.forEach((key, limit) -> {
            int index = config.classes().indexOf(key.substring(CLASS_LIMIT_PREFIX.length()));
            if (index >= 0) {
                result.put(index, limit);
            }
        });
        return result;
    }
}
