package gatefront.registry.follower;

/**
 * One change of one key.
 *
 * @param key its name
 * @param value what it holds now; null if it has been deleted, by hand or by the end of its lease
 * @param created the revision at which it came; 0 if it has been deleted
 * @param modified the revision of the change
 */
public record KeyChange(String key, String value, long created, long modified) {
    /** A key that is there. */
    public static KeyChange put(KeyEntry entry) {
        return new KeyChange(entry.key(), entry.value(), entry.created(), entry.modified());
    }

    /** A key that is gone. */
    public static KeyChange deleted(String key, long modified) {
        return new KeyChange(key, null, 0, modified);
    }
}
