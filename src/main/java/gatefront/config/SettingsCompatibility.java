package gatefront.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Whether a newer file of settings is whole: what the one in force has, it has too, and of the same kind. */
final class SettingsCompatibility {
    private static final String CLASSES = "classes";
    private static final String TENANTS = "realms";

    private SettingsCompatibility() {}

    /** An IllegalArgumentException names the key that is missing or of another kind. */
    static void check(JsonNode before, JsonNode now) {
        same("settings", before, now);
        if (now.path(CLASSES).isEmpty()) {
            throw bad("settings.classes", "has no class");
        }
        items("settings.classes", before.path(CLASSES), now.path(CLASSES));
        items("settings.realms", before.path(TENANTS), now.path(TENANTS));
    }

    private static void same(String path, JsonNode before, JsonNode now) {
        for (Map.Entry<String, JsonNode> each : before.properties()) {
            String key = path + "." + each.getKey();
            JsonNode found = now.path(each.getKey());
            kind(key, each.getValue(), found);
            if (found.isObject()) {
                same(key, each.getValue(), found);
            }
        }
    }

    /** Each item has a name of its own and the keys that all items before had. */
    private static void items(String path, JsonNode before, JsonNode now) {
        Set<String> common = new HashSet<>();
        before.path(0).fieldNames().forEachRemaining(common::add);
        before.forEach(item -> common.removeIf(key -> !item.has(key)));
        Set<String> names = new HashSet<>();
        int at = 0;
        for (JsonNode item : now) {
            String here = path + "." + at++;
            for (String key : common) {
                kind(here + "." + key, before.path(0).path(key), item.path(key));
            }
            if (item.path("name").asText("").isEmpty()
                    || !names.add(item.path("name").asText())) {
                throw bad(here + ".name", "is missing, or there twice");
            }
        }
    }

    private static void kind(String key, JsonNode before, JsonNode found) {
        if (found.isMissingNode() || found.isNull() && !before.isNull()) {
            throw bad(key, "is missing");
        }
        if (!before.isNull()
                && (found.isNumber() != before.isNumber()
                        || found.isTextual() != before.isTextual()
                        || found.isBoolean() != before.isBoolean()
                        || found.isArray() != before.isArray()
                        || found.isObject() != before.isObject())) {
            throw bad(key, "is of another kind than before: " + found);
        }
    }

    private static IllegalArgumentException bad(String key, String why) {
        return new IllegalArgumentException("config: " + key + " " + why);
    }
}
