package gatefront.persistence;

import gatefront.membership.ServerBans;
import java.util.Map;

/**
 * The contents read from a store.
 *
 * @param instance the name of the instance that wrote the store; null if the store is empty
 * @param startNumber the number of the last start of that instance, counted from 1; 0 if the store is empty
 * @param writtenUntilMicros the latest time at which the instance is known to have been writing, in microseconds of the
 *     time of day; negative if unknown
 * @param bans the manual drains, by the server's name
 * @param serverListMicros when the server list was stored, in microseconds of the time of day
 * @param serverList the last full server list, as JSON in the form of the discovery service; null if none was stored
 */
public record StoredState(
        String instance,
        long startNumber,
        long writtenUntilMicros,
        Map<String, ServerBans.Entry> bans,
        long serverListMicros,
        byte[] serverList) {
    /** The contents of an empty store. */
    public static final StoredState EMPTY = new StoredState(null, 0, -1, Map.of(), -1, null);
}
