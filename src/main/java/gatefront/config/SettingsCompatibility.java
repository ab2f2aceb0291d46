package gatefront.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Checks that newer settings have every key of the current ones, with a value of the same type. */
final class SettingsCompatibility {
    private static final String CLASSES = "classes";
    private static final String TENANTS = "realms";

    private SettingsCompatibility() {}

    /** Throws an IllegalArgumentException that names the key if one is missing or its value has another type. */
    static void check(JsonNode before, JsonNode after) {
        checkObject("settings", before, after);
        if (after.path(CLASSES).isEmpty()) {
            throw invalid("settings.classes", "has no class");
        }
        checkItems("settings.classes", before.path(CLASSES), after.path(CLASSES));
        checkItems("settings.realms", before.path(TENANTS), after.path(TENANTS));
    }

    private static void checkObject(String path, JsonNode before, JsonNode after) {
        for (Map.Entry<String, JsonNode> field : before.properties()) {
            String key = path + "." + field.getKey();
            JsonNode found = after.path(field.getKey());
            checkType(key, field.getValue(), found);
            if (found.isObject()) {
                checkObject(key, field.getValue(), found);
            }
        }
    }

    /** Checks that each item has a unique name and the keys that all current items have in common. */
    private static void checkItems(String path, JsonNode before, JsonNode after) {
        Set<String> commonKeys = new HashSet<>();
        before.path(0).fieldNames().forEachRemaining(commonKeys::add);
        before.forEach(item -> commonKeys.removeIf(key -> !item.has(key)));
        Set<String> names = new HashSet<>();
        int index = 0;
        for (JsonNode item : after) {
            String itemPath = path + "." + index++;
            for (String key : commonKeys) {
                checkType(itemPath + "." + key, before.path(0).path(key), item.path(key));
            }
            if (item.path("name").asText("").isEmpty()
                    || !names.add(item.path("name").asText())) {
                throw invalid(itemPath + ".name", "is missing, or there twice");
            }
        }
    }

    private static void checkType(String key, JsonNode before, JsonNode found) {
        if (found.isMissingNode() || found.isNull() && !before.isNull()) {
            throw invalid(key, "is missing");
        }
        if (!before.isNull()
                && (found.isNumber() != before.isNumber()
                        || found.isTextual() != before.isTextual()
                        || found.isBoolean() != before.isBoolean()
                        || found.isArray() != before.isArray()
                        || found.isObject() != before.isObject())) {
            throw invalid(key, "is of another kind than before: " + found);
        }
    }

    private static IllegalArgumentException invalid(String key, String problem) {
        return new IllegalArgumentException("config: " + key + " " + problem);
    }
}
