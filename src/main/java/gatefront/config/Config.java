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
 * The configuration of one real agent, as read from its JSON file.
 *
 * @param listen where the application connects
 * @param discovery where the server list comes from
 * @param seed for random choices; new with each start
 * @param sockets how many file descriptors the process may hold
 * @param cachedServerList the server list as this agent last had it, in discovery's form
 * @param settings what the module is told
 * @param classes names of the request classes, in the settings' order
 * @param tenants names of the tenants, in the settings' order
 * @param zones names of the zones, in the settings' order
 * @param kinds names of the kinds of machine, in the settings' order
 * @param loadFields names of the values of a load report, in the settings' order
 * @param loadByProbe whether only probes bring load reports
 * @param connectTimeoutMicros a connection not up by then has failed
 * @param idleCloseMicros a server closes a connection that has been idle for this long
 * @param management where operators call; null if they have no door
 * @param removedClasses classes that keep their number and are no longer known by name
 * @param settingsJson the settings as they stood in the file
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
    /** Classes that there may be in the life of a process: each keeps what it has at every server. */
    private static final int MAX_CLASSES = 128;

    private static final JsonFactory JSON = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build())
            .build();

    /** Reads the file; an unusable one is an exception whose message is one plain line. */
    public static Config read(Path file) {
        JsonNode root;
        try {
            root = parseJson(new ByteArrayInputStream(Files.readAllBytes(file)));
        } catch (IOException e) {
            String why = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw new IllegalArgumentException("cannot read " + file + ": " + why, e);
        }
        return fromJson(root);
    }

    /** The same with a door for operators at this address; null changes nothing. */
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

    /** Takes the configuration from its JSON. */
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

    /** The number of a class that is known by this name, or negative. */
    public int classIndex(String name) {
        return removedClasses.contains(name) ? -1 : classes.indexOf(name);
    }

    /**
     * What a newer file makes of this configuration: its classes and tenants, what is permitted, where discovery is.
     * Names keep their numbers, new ones follow, and those that the file has no more are dropped.
     *
     * @throws IllegalArgumentException if the file lacks what the one before had, or makes no sense; one plain line
     */
    public Config reloadedWith(Config newer) {
        SettingsCompatibility.check(settingsJson, newer.settingsJson);
        List<String> names = new ArrayList<>(classes);
        List<Balancer.RequestClass> types = new ArrayList<>(settings.classes());
        Set<String> removed = new HashSet<>(classes);
        for (int i = 0; i < newer.classes.size(); i++) {
            String name = newer.classes.get(i);
            removed.remove(name);
            int index = names.indexOf(name);
            if (index < 0) {
                names.add(name);
                types.add(newer.settings.classes().get(i));
            } else {
                types.set(index, newer.settings.classes().get(i));
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
                List.copyOf(types),
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
     * Reads JSON. The library's mapper would do the same, but its making takes a quarter of a second on half
     * a core (it sets up dates, locales and the reading of classes): nobody is served meanwhile.
     */
    public static JsonNode parseJson(InputStream input) throws IOException {
        try (JsonParser parser = JSON.createParser(input)) {
            return parseJson(parser, parser.nextToken());
        }
    }

    private static JsonNode parseJson(JsonParser input, JsonToken at) throws IOException {
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        if (at == null) {
            return nodes.missingNode();
        }
        switch (at) {
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

    /** Nested JSON as the path=value pairs of the simulator's first message: one parser serves both. */
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
                pairs.put(path + ".count", "0"); // it may have been meant as a list of objects
            }
        } else if (!node.isNull()) {
            pairs.put(path, node.asText());
        }
    }

    /** The words of a list of words, or the names of a list of objects. */
    private static List<String> names(JsonNode list) {
        List<String> names = new ArrayList<>();
        list.forEach(item -> names.add(item.isObject() ? item.path("name").asText() : item.asText()));
        return List.copyOf(names);
    }

    /** A number for a name or key: the same at every agent, as the module's hashing needs, and never 0. */
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

    /** An address as the configuration and discovery write it: a literal one, for there is no DNS. */
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
