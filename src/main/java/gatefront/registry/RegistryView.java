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
 * What the keys of a registry say: of servers, {@code nodos/NAME} in the form of the server list, and policies that lie
 * over it, {@code policies/nodos/NAME} and {@code policies/salas/ZONE}; of classes, {@code policies/clases/NAME}, how
 * many calls may be in progress. A value that cannot be read leaves the last good one. State: one value a key, dropped
 * with the key.
 */
final class RegistryView {
    private static final String NODOS = "nodos/";
    private static final String OF_NODOS = "policies/nodos/";
    private static final String OF_ZONES = "policies/salas/";
    private static final String OF_CLASSES = "policies/clases/";
    /** The only version of values there is; one that is not understood must not be guessed at. */
    private static final int VERSION = 1;

    private static final double FACTOR_MOST = 100;
    private static final int LIMIT_MOST = 1_000_000;

    private final Config config;
    private final String prefix;
    private final Consumer<String> log;
    private final Map<String, Endpoint> nodos = new LinkedHashMap<>();
    private final Map<String, ServerOverride> policies = new HashMap<>();
    private final Map<String, Integer> limits = new HashMap<>();

    /**
     * What has come of changes.
     *
     * @param servers those that have changed; what has no key any more is gone
     * @param policies whether any policy of servers has changed
     * @param limits whether any class's limit has
     */
    record News(List<Endpoint> servers, boolean policies, boolean limits) {}

    RegistryView(Config config, String prefix, Consumer<String> log) {
        this.config = config;
        this.prefix = prefix;
        this.log = log;
    }

    /** Takes in changes of keys. */
    News changed(List<KeyChange> changes) {
        Map<String, Endpoint> servers = new LinkedHashMap<>();
        boolean ofPolicies = false;
        boolean ofLimits = false;
        for (KeyChange each : changes) {
            String key = each.key().substring(prefix.length());
            try {
                if (key.startsWith(NODOS)) {
                    Endpoint before = nodos.get(key);
                    Endpoint now = each.value() == null
                            ? null
                            : EndpointJson.decode(json(each.value()), key.substring(NODOS.length()), config);
                    if (now != null) {
                        nodos.put(key, now);
                        servers.put(key, now);
                    } else if (nodos.remove(key) != null) {
                        servers.put(key, before.asGone());
                    }
                } else if (key.startsWith(OF_NODOS) || key.startsWith(OF_ZONES)) {
                    ServerOverride now = each.value() == null ? null : policy(json(each.value()));
                    ofPolicies |= !Objects.equals(now, now == null ? policies.remove(key) : policies.put(key, now));
                } else if (key.startsWith(OF_CLASSES)) {
                    Integer now = each.value() == null ? null : limit(json(each.value()));
                    ofLimits |= !Objects.equals(now, now == null ? limits.remove(key) : limits.put(key, now));
                } // other keys are for others
            } catch (IOException | IllegalArgumentException e) {
                boolean kept = nodos.containsKey(key) || policies.containsKey(key) || limits.containsKey(key);
                log.accept("registry: the value of " + each.key() + " at revision " + each.modified()
                        + " is not used, " + (kept ? "the last good one stays" : "and there is no earlier one") + ": "
                        + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            }
        }
        return new News(List.copyOf(servers.values()), ofPolicies, ofLimits);
    }

    private static JsonNode json(String value) throws IOException {
        JsonNode root = Config.parseJson(new ByteArrayInputStream(value.getBytes(StandardCharsets.UTF_8)));
        if (!root.isObject()) {
            throw new IllegalArgumentException("it is no JSON object");
        }
        if (root.path("v").asInt(VERSION) != VERSION) {
            throw new IllegalArgumentException("it is of version " + root.path("v") + ", known is " + VERSION);
        }
        return root;
    }

    private static ServerOverride policy(JsonNode root) {
        JsonNode drain = root.path("drain");
        JsonNode factor = root.path("weight_factor");
        if (!drain.isMissingNode() && !drain.isBoolean()) {
            throw new IllegalArgumentException("drain is to be true or false, not " + drain);
        }
        if (!factor.isMissingNode()
                && !(factor.isNumber() && factor.asDouble() > 0 && factor.asDouble() <= FACTOR_MOST)) {
            throw new IllegalArgumentException("weight_factor is to be above 0 and at most " + FACTOR_MOST + ", not "
                    + factor + "; what is to get nothing is drained");
        }
        return new ServerOverride(drain.asBoolean(false), factor.asDouble(1));
    }

    private static int limit(JsonNode root) {
        JsonNode most = root.path("in_progress");
        if (!(most.isNumber() && most.asDouble() == most.asInt() && most.asInt() >= 0 && most.asInt() <= LIMIT_MOST)) {
            throw new IllegalArgumentException("in_progress is to be a whole number from 0 to " + LIMIT_MOST + ", not "
                    + (most.isMissingNode() ? "missing" : most));
        }
        return most.asInt();
    }

    /** All servers that have a key. */
    List<Endpoint> endpoints() {
        return List.copyOf(nodos.values());
    }

    /** The policies of one server each, by its name. */
    Map<String, ServerOverride> ofServers() {
        Map<String, ServerOverride> of = new HashMap<>();
        policies.forEach((key, policy) -> {
            if (key.startsWith(OF_NODOS)) {
                of.put(key.substring(OF_NODOS.length()), policy);
            }
        });
        return of;
    }

    /** The policies of a zone each, by its number; of a zone that there is not, it says nothing. */
    Map<Integer, ServerOverride> ofZones() {
        Map<Integer, ServerOverride> of = new HashMap<>();
        policies.forEach((key, policy) -> {
            int zone = key.startsWith(OF_ZONES) ? config.zones().indexOf(key.substring(OF_ZONES.length())) : -1;
            if (zone >= 0) {
                of.put(zone, policy);
            }
        });
        return of;
    }

    /** How many calls of a class may be in progress, by its index; of a class that there is not, it says nothing. */
    Map<Integer, Integer> ofClasses() {
        Map<Integer, Integer> of = new HashMap<>();
        limits.forEach((key, limit) -> {
            int index = config.classes().indexOf(key.substring(OF_CLASSES.length()));
            if (index >= 0) {
                of.put(index, limit);
            }
        });
        return of;
    }
}
