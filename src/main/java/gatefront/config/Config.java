package gatefront.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.policy.Balancer;
import gatefront.policy.SettingsParser;
import io.netty.util.NetUtil;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;

/**
 * The configuration of an agent, as read from its JSON file.
 *
 * @param listen address on which clients connect
 * @param management address of the management endpoint; null if there is none
 * @param discovery address of the discovery service
 * @param seed seed for random choices; differs for each start
 * @param sockets maximum number of open file descriptors
 * @param cachedServerList the last server list known to this agent, in the format of discovery
 * @param settings settings of the decision module
 * @param classes names of the request classes, in the order of the settings
 * @param tenants names of the tenants, in the order of the settings
 * @param zones names of the zones, in the order of the settings
 * @param kinds names of the machine types, in the order of the settings
 * @param loadFields names of the values of a load report, in the order of the settings
 * @param loadByProbe whether load reports come with probes only
 * @param connectTimeoutMicros timeout for opening a connection
 * @param idleCloseMicros idle time after which servers close a connection
 * @param removedClasses request classes that were removed by a reload; they keep their index but not their name
 * @param settingsJson the settings as written in the file
 */
public record Config(
        InetSocketAddress listen,
        InetSocketAddress management,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        JsonNode cachedServerList,
        Balancer.Settings settings,
        List<String> classes,
        List<String> tenants,
        List<String> zones,
        List<String> kinds,
        List<String> loadFields,
        boolean loadByProbe,
        long connectTimeoutMicros,
        long idleCloseMicros,
        Set<String> removedClasses,
        JsonNode settingsJson) {

    private static final int MAX_NESTING = 100;
    /** Maximum request classes over the lifetime of a process; each keeps its state at every server. */
    private static final int MAX_CLASSES = 128;

    private static final JsonFactory JSON = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build())
            .build();

    /** Reads the file; throws an exception with a one-line message if it is unusable. */
    public static Config read(Path file) {
        JsonNode root;
        try {
            root = parseJson(new ByteArrayInputStream(Files.readAllBytes(file)));
        } catch (IOException e) {
            String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw new IllegalArgumentException("cannot read " + file + ": " + reason, e);
        }
        return fromJson(root);
    }

    /** Returns a copy with the management endpoint at this address; null or empty changes nothing. */
    public Config withManagementAddress(String address) {
        return address == null || address.isEmpty()
                ? this
                : new Config(
                        listen,
                        address(address),
                        discovery,
                        seed,
                        sockets,
                        cachedServerList,
                        settings,
                        classes,
                        tenants,
                        zones,
                        kinds,
                        loadFields,
                        loadByProbe,
                        connectTimeoutMicros,
                        idleCloseMicros,
                        removedClasses,
                        settingsJson);
    }

    /** Creates the configuration from its JSON. */
    public static Config fromJson(JsonNode root) {
        JsonNode settings = required(root, "settings");
        Map<String, String> pairs = new HashMap<>();
        flatten("", settings, pairs);
        return new Config(
                address(text(root, "listen")),
                root.path("management").asText("").isEmpty() ? null : address(text(root, "management")),
                address(text(root, "discovery")),
                seed(text(root, "seed")),
                (int) numberAtLeast(64, required(root, "limits"), "sockets"),
                root.path("known"),
                SettingsParser.parse(pairs),
                names(settings.path("classes")),
                names(settings.path("realms")),
                names(settings.path("zones")),
                names(settings.path("kinds")),
                names(settings.path("load-info").path("fields")),
                settings.path("load-info").path("via").asText().equals("probe"),
                numberAtLeast(1000, required(settings, "caps"), "dial-timeout-us"),
                numberAtLeast(1000, required(settings, "caps"), "idle-close-us"),
                Set.of(),
                settings);
    }

    /** Returns whether the request class of this index is in force, and was not removed by a reload. */
    public boolean hasClass(int index) {
        return !removedClasses.contains(classes.get(index));
    }

    /** Returns the index of the request class of this name, or a negative number. */
    public int classIndex(String name) {
        return removedClasses.contains(name) ? -1 : classes.indexOf(name);
    }

    /**
     * Returns this configuration with the reloadable parts of a newer file: classes, tenants, limits on attempts and
     * retry-after, obligations, prices, goal and the address of discovery. Existing classes keep their index, new ones
     * are appended, and classes missing from the file are marked as removed.
     *
     * @throws IllegalArgumentException with a one-line message if the file is invalid or lacks a key of the current one
     */
    public Config reloadedWith(Config newer) {
        SettingsCompatibility.check(settingsJson, newer.settingsJson);
        List<String> names = new ArrayList<>(classes);
        List<Balancer.RequestClass> requestClasses = new ArrayList<>(settings.classes());
        Set<String> removed = new HashSet<>(classes);
        for (int i = 0; i < newer.classes.size(); i++) {
            String name = newer.classes.get(i);
            removed.remove(name);
            int index = names.indexOf(name);
            if (index < 0) {
                names.add(name);
                requestClasses.add(newer.settings.classes().get(i));
            } else {
                requestClasses.set(index, newer.settings.classes().get(i));
            }
        }
        if (names.size() > MAX_CLASSES) {
            throw new IllegalArgumentException("config: classes: " + names.size() + " different names since the start, "
                    + "more than the " + MAX_CLASSES + " that may be; it needs a restart");
        }
        Balancer.Settings current = settings;
        Balancer.Settings updated = newer.settings;
        Balancer.Settings merged = new Balancer.Settings(
                current.agent(),
                current.agents(),
                current.zone(),
                current.zones(),
                current.tick(),
                current.askDiscovery(),
                current.warmKeys(),
                current.listedWeights(),
                current.worthByWork(),
                updated.overQuotaWorth(),
                new Balancer.Permits(
                        updated.permits().maxAttempts(),
                        current.permits().duplicates(),
                        current.permits().cancel(),
                        current.permits().probes(),
                        current.permits().messages(),
                        updated.permits().maxRetryAfter()),
                updated.obligations(),
                updated.prices(),
                updated.goal(),
                List.copyOf(requestClasses),
                updated.tenants(),
                current.loadFields());
        return new Config(
                listen,
                management,
                newer.discovery,
                seed,
                sockets,
                cachedServerList,
                merged,
                List.copyOf(names),
                newer.tenants,
                zones,
                kinds,
                loadFields,
                loadByProbe,
                connectTimeoutMicros,
                idleCloseMicros,
                Set.copyOf(removed),
                newer.settingsJson);
    }

    /**
     * Parses JSON. Avoids Jackson's ObjectMapper, whose creation takes a quarter of a second on half a core (it sets up
     * dates, locales and class introspection), during which no request is served.
     */
    public static JsonNode parseJson(InputStream input) throws IOException {
        try (JsonParser parser = JSON.createParser(input)) {
            return parseJson(parser, parser.nextToken());
        }
    }

    private static JsonNode parseJson(JsonParser input, JsonToken token) throws IOException {
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        if (token == null) {
            return nodes.missingNode();
        }
        switch (token) {
            case START_OBJECT:
                ObjectNode object = nodes.objectNode();
                while (input.nextToken() != JsonToken.END_OBJECT) {
                    String name = input.currentName();
                    object.set(name, parseJson(input, input.nextToken()));
                }
                return object;
            case START_ARRAY:
                ArrayNode array = nodes.arrayNode();
                while (input.nextToken() != JsonToken.END_ARRAY) {
                    array.add(parseJson(input, input.currentToken()));
                }
                return array;
            case VALUE_NUMBER_INT:
                return input.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? nodes.numberNode(input.getBigIntegerValue())
                        : nodes.numberNode(input.getLongValue());
            case VALUE_NUMBER_FLOAT:
                return nodes.numberNode(input.getDoubleValue());
            case VALUE_NULL:
                return nodes.nullNode();
            case VALUE_TRUE:
            case VALUE_FALSE:
                return nodes.booleanNode(input.getBooleanValue());
            default:
                return nodes.textNode(input.getText());
        }
    }

    /** Flattens nested JSON to path=value pairs as in the simulator's first message, so that one parser serves both. */
    private static void flatten(String path, JsonNode node, Map<String, String> pairs) {
        if (node.isObject()) {
            node.properties()
                    .forEach(field -> flatten(
                            path.isEmpty() ? field.getKey() : path + "." + field.getKey(), field.getValue(), pairs));
        } else if (node.isArray() && node.path(0).isContainerNode()) {
            pairs.put(path + ".count", String.valueOf(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(path + "." + i, node.get(i), pairs);
            }
        } else if (node.isArray()) {
            pairs.put(path, String.join(",", names(node)));
            if (node.isEmpty()) {
                pairs.put(path + ".count", "0"); // it may be an empty list of objects
            }
        } else if (!node.isNull()) {
            pairs.put(path, node.asText());
        }
    }

    /** Returns the strings of a list of strings, or the names of a list of objects. */
    private static List<String> names(JsonNode list) {
        List<String> names = new ArrayList<>();
        list.forEach(item -> names.add(item.isObject() ? item.path("name").asText() : item.asText()));
        return List.copyOf(names);
    }

    /** Returns a non-zero id for a name or key; it is equal at every agent, as the module's hashing requires. */
    public static long id(String name) {
        long id = UUID.nameUUIDFromBytes(name.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
        return id == 0 ? 1 : id;
    }

    private static JsonNode required(JsonNode node, String name) {
        JsonNode found = node.path(name);
        if (found.isMissingNode() || found.isNull()) {
            throw new IllegalArgumentException("config: " + name + " is missing");
        }
        return found;
    }

    private static String text(JsonNode node, String name) {
        return required(node, name).asText();
    }

    private static long numberAtLeast(long min, JsonNode node, String name) {
        JsonNode value = required(node, name);
        if (!value.isNumber() || value.asLong() < min) {
            throw new IllegalArgumentException("config: " + name + " has an unusable value: " + value);
        }
        return value.asLong();
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("config: seed has an unusable value: " + hex, e);
        }
    }

    /** Parses an address of the configuration or of discovery; the host must be an IP address, as there is no DNS. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            if (host != null) {
                return new InetSocketAddress(
                        InetAddress.getByAddress(host), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new IllegalArgumentException("unusable address: " + text, e);
        }
        throw new IllegalArgumentException("unusable address: " + text);
    }
}
