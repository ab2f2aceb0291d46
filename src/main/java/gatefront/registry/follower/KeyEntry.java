package gatefront.registry.follower;

/**
 * A key with its value.
 *
 * @param key the key
 * @param value the value
 * @param createRevision the revision at which the key was created; a new one after a deletion
 * @param modRevision the revision of this value
 */
public record KeyEntry(String key, String value, long createRevision, long modRevision) {}
