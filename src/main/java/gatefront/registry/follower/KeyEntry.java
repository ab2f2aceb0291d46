package gatefront.registry.follower;

/**
 * A key with its value.
 *
 * @param key its name
 * @param value what it holds
 * @param created the revision at which it came, anew after a deletion
 * @param modified the revision of this value
 */
public record KeyEntry(String key, String value, long created, long modified) {}
