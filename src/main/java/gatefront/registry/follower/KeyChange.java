package gatefront.registry.follower;

/**
 * A change of one key.
 *
 * @param key the key
 * @param value the new value; null if the key has been deleted, explicitly or by the end of its lease
 * @param createRevision the revision at which the key was created; 0 if it has been deleted
 * @param modRevision the revision of the change
 */
public record KeyChange(String key, String value, long createRevision, long modRevision) {
    /** Returns a change that puts an entry. */
    public static KeyChange put(KeyEntry entry) {
        return new KeyChange(entry.key(), entry.value(), entry.createRevision(), entry.modRevision());
    }

    /** Returns a change that deletes a key. */
    public static KeyChange deleted(String key, long modRevision) {
        return new KeyChange(key, null, 0, modRevision);
    }
}
